package lease

import "github.com/amaranthfold/amaranthfold/core/config"

// deploymentLease is the lease whose holder controls the whole deployment.
const deploymentLease = "deployment"

// OrdersLeaseName returns the name of the lease whose holder sends the orders for the data
// centre's targets: one lease for the deployment, or one for each data centre.
func OrdersLeaseName(shardBy config.ShardBy, dataCentre string) string {
	if shardBy == config.ShardByDataCentre {
		return deploymentLease + "/" + dataCentre
	}
	return deploymentLease
}

// Names returns the names of the leases that a configuration needs: of the deployment, of
// its data centres if orders are sharded, and of its trainers.
func Names(cfg *config.Config, trainerLease func(trainer string) string) []string {
	names := []string{deploymentLease}
	if cfg.Control.ShardBy == config.ShardByDataCentre {
		for _, dc := range cfg.DataCentres {
			names = append(names, OrdersLeaseName(cfg.Control.ShardBy, dc.Name))
		}
	}
	for _, t := range cfg.Trainers {
		names = append(names, trainerLease(t.Name))
	}
	return names
}

package lease

import "github.com/amaranthfold/amaranthfold/core/config"

// deploymentLease is the name of the lease whose holder controls the deployment.
const deploymentLease = "deployment"

// OrdersLeaseName returns the name of the lease whose holder sends the orders, starts and stops
// of targets, for the data centre: the lease of the deployment, or the data centre's own lease
// if orders are sharded by data centre.
func OrdersLeaseName(shardBy config.ShardBy, dataCentre string) string {
	if shardBy == config.ShardByDataCentre {
		return deploymentLease + "/" + dataCentre
	}
	return deploymentLease
}

// Names returns the names of all leases of a configuration: of the deployment, of its data
// centres if orders are sharded by them, and of its trainers. trainerLease returns the name of
// a trainer's lease.
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

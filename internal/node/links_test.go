package node

import (
	"context"
	"fmt"
	"net"
	"slices"
	"syscall"
	"testing"

	"github.com/amaranthfold/amaranthfold/core/catalog"
	"github.com/amaranthfold/amaranthfold/core/directory"
	"github.com/amaranthfold/amaranthfold/platform"
)

// Guards against an instance that takes itself to be cut off because it drew the entry of another
// writer, at whose address nothing listens.
func TestTargetsOfUnknownServicesAreNoWitnesses(t *testing.T) {
	n := New(Config{Settings: platform.Settings{Store: platform.StoreSettings{Partitions: 1}}})
	view := &View{Catalog: &catalog.Catalog{Services: map[string]catalog.Service{"s": {}}}, Targets: []directory.Target{{ID: "a", Service: "s", Address: "10.0.0.1:1", Ready: true}}}
	for i := range 20 {
		view.Targets = append(view.Targets, directory.Target{ID: fmt.Sprint("odd", i), Service: "other", Address: "10.0.0.2:1", Ready: true})
	}
	n.StateLoop.view.Store(view)
	for range 50 {
		if got := n.Links.Witnesses("", linkWitnesses); !slices.Equal(got, []string{"10.0.0.1:1"}) {
			t.Fatal(got)
		}
	}
	n.StateLoop.view.Store(&View{Targets: view.Targets})
	if got := n.Links.Witnesses("", linkWitnesses); got != nil {
		t.Errorf("without a configuration: %v", got)
	}
}

// Guards against an instance that takes itself to be cut off, and refuses the work of others, as the
// one target that it asks is down.
func TestOneTargetThatIsDownDoesNotDenyTheLinks(t *testing.T) {
	n := New(Config{
		Settings: platform.Settings{Store: platform.StoreSettings{Partitions: 1}},
		DialTarget: func(_ context.Context, _, address string) (net.Conn, error) {
			if address == "10.0.0.1:1" {
				return nil, syscall.ECONNREFUSED
			}
			conn, _ := net.Pipe()
			return conn, nil
		},
	})
	n.StateLoop.view.Store(&View{
		Catalog: &catalog.Catalog{Services: map[string]catalog.Service{"s": {}}},
		Targets: []directory.Target{{ID: "a", Service: "s", Address: "10.0.0.1:1", Ready: true}, {ID: "b", Service: "s", Address: "10.0.0.2:1", Ready: true}},
	})
	for range 50 {
		if !n.Links.ConfirmSince(context.Background(), n.Clock.Now()) {
			t.Fatal("the links are not confirmed")
		}
	}
}

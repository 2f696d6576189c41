package node

import (
	"io"
	"testing"
	"time"

	"github.com/amaranthfold/amaranthfold/platform"
)

// Guards against a list of all instances for each of hundreds that start together.
func TestInstancesThatAskOneAfterTheOtherGetOneAnswer(t *testing.T) {
	const history = 20 * time.Second
	l := New(Config{LogOutput: io.Discard, Settings: platform.Settings{
		MemoryBytes: 1 << 20, Store: platform.StoreSettings{Address: "127.0.0.1:1", Partitions: 1, Retention: history},
	}}).Peers
	for _, step := range []struct {
		at           time.Duration
		answer, asks bool // an answer, or else a question, is read at the time
	}{{0, false, true}, {time.Second, true, false}, {2 * time.Second, false, false}, {history / 2, false, true}} {
		if step.answer {
			l.noteKnown(step.at, false)
		} else {
			l.noteAsk(step.at)
		}
		if l.unanswered != step.asks {
			t.Errorf("at %s an answer is due: %t", step.at, l.unanswered)
		}
	}
}

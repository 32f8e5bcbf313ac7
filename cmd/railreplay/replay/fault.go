package replay

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"dandelionrail.org/rail/cmd/railreplay/trace"
	"dandelionrail.org/rail/group"
)

type reclaimBody struct {
	Instance string `json:"instance"`
	NoticeMs int64  `json:"noticeMs"`
}

type controlBody struct {
	Reclaim []reclaimBody `json:"reclaim"`
}

// injectFaults injects each fault at its offset.
func (r *replayer) injectFaults(ctx context.Context, g *group.Group, start time.Time) {
	for _, f := range r.trace.Faults() {
		if !r.waitUntil(ctx, start, f.Offset()) {
			return
		}
		g.Go(func(ctx context.Context) { r.inject(ctx, f) })
	}
}

// inject injects one fault and records it with its error.
func (r *replayer) inject(ctx context.Context, f trace.Fault) {
	err := r.applyFault(ctx, f)
	text := fmt.Sprintf("%8s  %s %s %s", f.Offset(), f.Kind(), f.Instance(), f.Control())
	if err != nil {
		text += " FAILED: " + err.Error()
		log.WithError(err).WithField("fault", f.Kind()).Error("fault could not be brought about")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = append(r.faults, text)
	r.faultFailed = r.faultFailed || err != nil
}

func (r *replayer) applyFault(ctx context.Context, f trace.Fault) error {
	switch f.Kind() {
	case trace.Reclaim:
		return r.reclaim(ctx, f)
	case trace.Kill:
		return r.signal(f.Instance(), syscall.SIGKILL)
	case trace.Terminate:
		return r.signal(f.Instance(), syscall.SIGTERM)
	case trace.Stop:
		return r.signal(f.Instance(), syscall.SIGSTOP)
	case trace.Continue:
		return r.signal(f.Instance(), syscall.SIGCONT)
	case trace.ControlPlatform:
		return r.watcher.call(ctx, http.MethodPost, r.settings.Platform+"/control", f.Control(), nil)
	case trace.ControlInstance:
		address, ok := r.watcher.address(f.Instance())
		if !ok {
			return errors.Errorf("instance %s is not in the list", f.Instance())
		}
		return r.watcher.call(ctx, http.MethodPost, address+"/control", f.Control(), nil)
	}
	return errors.Errorf("unknown fault %s", f.Kind())
}

// reclaim sends the reclaim notice of an instance and kills its process, if its id is given, when the notice has expired.
func (r *replayer) reclaim(ctx context.Context, f trace.Fault) error {
	body := controlBody{Reclaim: []reclaimBody{{Instance: f.Instance(), NoticeMs: f.Notice().Milliseconds()}}}
	if err := r.watcher.post(ctx, r.settings.Platform+"/control", body); err != nil {
		return err
	}
	if _, ok := r.settings.Processes[f.Instance()]; !ok {
		return nil // the stand-in exits by itself
	}
	// The notice is not shortened by the speed, by which waitUntil divides.
	if !r.waitUntil(ctx, time.Now(), time.Duration(float64(f.Notice())*r.settings.Speed)) {
		return ctx.Err()
	}
	err := r.signal(f.Instance(), syscall.SIGKILL)
	if errors.Is(err, os.ErrProcessDone) {
		return nil // it has exited within the notice
	}
	return err
}

// signal sends a signal to the process of the instance.
func (r *replayer) signal(instance string, s syscall.Signal) error {
	id, ok := r.settings.Processes[instance]
	if !ok {
		return errors.Errorf("no process id is known for instance %s", instance)
	}
	p, err := os.FindProcess(id)
	if err != nil {
		return errors.Wrap(err, "find the process")
	}
	return errors.Wrapf(p.Signal(s), "signal %s", instance)
}

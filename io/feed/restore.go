package feed

// RestoreSignal tells a goroutine that the store of some copies was restored from a backup.
type RestoreSignal struct{ restored chan struct{} }

// NewRestoreSignal returns a signal for the given copies.
func NewRestoreSignal(copies ...*Copy) *RestoreSignal {
	rs := &RestoreSignal{restored: make(chan struct{}, 1)}
	for _, cp := range copies {
		cp.Subscribe(rs.notify)
	}
	return rs
}

// C returns a channel that receives a value after a restore. Restores that follow each other before it is received count as one.
func (rs *RestoreSignal) C() <-chan struct{} { return rs.restored }

func (rs *RestoreSignal) notify(ch Change) {
	if !ch.Restored {
		return
	}
	select {
	case rs.restored <- struct{}{}:
	default:
	}
}

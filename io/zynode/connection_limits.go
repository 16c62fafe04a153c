package zynode

import (
	"syscall"

	"zinniayoke"
	"zinniayoke/io/zylistener"
)

const (
	// A connection takes about connectionSize with its buffers, its request's head and its stacks,
	// and those of callers together 1/connectionShare of the memory limit, and half of the
	// descriptors.
	connectionSize  = 16 * zinniayoke.KiB
	connectionShare = 8
	maxCallerConns  = 8192
	minCallerConns  = 64
	// maxOtherConns limits the connections of the worker, and of operators.
	maxOtherConns  = 64
	defaultMaxHead = 64 << 10
)

// connectionLimits returns the limits of the ports for callers, the worker and operators.
func (n *Node) connectionLimits() [3]zylistener.Config {
	callers := int64(maxCallerConns)
	if limit := n.cfg.Settings.MemoryLimit; limit > 0 {
		callers = min(callers, int64(limit/connectionShare/connectionSize))
	}
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err == nil && files.Cur < 1<<32 {
		callers = min(callers, int64(files.Cur)/2)
	}
	others := zylistener.Config{MaxConns: maxOtherConns, MaxHead: func() int { return defaultMaxHead }}
	return [3]zylistener.Config{{MaxConns: int(max(callers, minCallerConns)), MaxHead: n.maxHead}, others, others}
}

// maxHead returns the limit for the head of a caller's request.
func (n *Node) maxHead() int {
	if bundle := n.bundle.Current(); bundle != nil && bundle.Limits.Header > 0 {
		return int(bundle.Limits.Header)
	}
	return defaultMaxHead
}

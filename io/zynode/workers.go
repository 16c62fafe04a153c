package zynode

import (
	"github.com/prometheus/client_golang/prometheus"

	"zinniayoke"
)

// workerCount exports how many workers of each service serve, as this node
// knows. Services that the bundle does not hold are left out.
type workerCount struct {
	node *Node
	desc *prometheus.Desc
}

func newWorkerCount(n *Node) *workerCount {
	return &workerCount{node: n, desc: prometheus.NewDesc("zinniayoke_workers_serving",
		"Workers that serve, by service.", []string{"service"}, nil)}
}

// Describe sends the description of the metric.
func (w *workerCount) Describe(out chan<- *prometheus.Desc) {
	out <- w.desc
}

// Collect counts the workers.
func (w *workerCount) Collect(out chan<- prometheus.Metric) {
	rules := w.node.book.Rules()
	if rules == nil {
		return
	}
	for service := range rules.Services {
		serving := 0
		for _, u := range w.node.view.Upstreams(service) {
			if u.State == zinniayoke.WorkerServing {
				serving++
			}
		}
		out <- prometheus.MustNewConstMetric(w.desc, prometheus.GaugeValue, float64(serving), string(service))
	}
}

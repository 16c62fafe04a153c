package zynode

import (
	"github.com/prometheus/client_golang/prometheus"

	"zinniayoke"
)

// workerCollector exports how many workers of each service are serving, as far as
// this node knows. It leaves out services that are not in the bundle.
type workerCollector struct {
	node *Node
	desc *prometheus.Desc
}

func newWorkerCollector(n *Node) *workerCollector {
	return &workerCollector{node: n, desc: prometheus.NewDesc("zinniayoke_workers_serving",
		"Workers that serve, by service.", []string{"service"}, nil)}
}

// Describe sends the description of the metric.
func (w *workerCollector) Describe(out chan<- *prometheus.Desc) {
	out <- w.desc
}

// Collect counts the serving workers of each service.
func (w *workerCollector) Collect(out chan<- prometheus.Metric) {
	bundle := w.node.bundle.Current()
	if bundle == nil {
		return
	}
	for service := range bundle.Services {
		serving := 0
		for _, u := range w.node.view.Upstreams(service) {
			if u.State == zinniayoke.WorkerServing {
				serving++
			}
		}
		out <- prometheus.MustNewConstMetric(w.desc, prometheus.GaugeValue, float64(serving), string(service))
	}
}

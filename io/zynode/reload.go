package zynode

import (
	"reflect"

	"zinniayoke/core/zysettings"
)

// LogWarning logs what went wrong outside of the node.
func (n *Node) LogWarning(text string, err error) {
	n.log.With("error", err).Warn(text)
}

// Reload takes in settings that have changed. The log level, the retry limits
// and the times of a stop change at once; the node's ports, place, keys and
// platform change with the next start.
func (n *Node) Reload(s *zysettings.Settings) {
	old := n.settings.Swap(s)
	if reflect.DeepEqual(old, s) {
		n.log.Info("The settings were read again and have not changed.")
		return
	}
	if err := n.logger.SetLevel(s.Logging.Level); err != nil {
		n.log.With("error", err).Warn("The log level was not changed.")
	}
	if n.retries != nil {
		n.retries.SetLimits(s.ServiceRetryBudget.Ratio, s.ServiceRetryBudget.Slack)
	}
	n.log.With("settings", s.Summary()).Info("The settings have changed.")
}

package zynode

import (
	"reflect"

	"zinniayoke/core/zysettings"
)

// LogWarning writes a warning to the log of the node, for code that runs the node.
func (n *Node) LogWarning(text string, err error) {
	n.log.With("error", err).Warn(text)
}

// Reload applies changed settings. The log level, the limits of the service retry
// budgets and the shutdown times change at once; ports, locality, keys and the
// platform change only with a restart.
func (n *Node) Reload(s *zysettings.Settings) {
	old := n.settings.Swap(s)
	if reflect.DeepEqual(old, s) {
		n.log.Info("The settings were reloaded and have not changed.")
		return
	}
	if err := n.logger.SetLevel(s.Logging.Level); err != nil {
		n.log.With("error", err).Warn("The log level could not be changed.")
	}
	if n.retryBudgets != nil {
		n.retryBudgets.SetLimits(s.ServiceRetryBudget.Ratio, s.ServiceRetryBudget.Slack)
	}
	n.log.With("settings", s.Summary()).Info("The settings have changed.")
}

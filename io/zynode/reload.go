package zynode

import (
	"reflect"
	"slices"

	"zinniayoke/core/zysettings"
)

// LogWarning writes a warning to the log of the node, for code that runs the node.
func (n *Node) LogWarning(text string, err error) {
	n.log.With("error", err).Warn(text)
}

// Reload applies changed settings. What cannot change while the process runs is named in the
// log; see restartFields.
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
	if s.Worker.Service != old.Worker.Service {
		n.receiver.SetService(s.Worker.Service)
	}
	n.receiver.SetWorkerAddress(s.Worker.Address)
	n.cfg.Adapters.Budget.SetLimit(int64(s.HeldLimit))
	if s.Worker.Heartbeat > 0 {
		n.receiver.SetAnnouncementTTL(s.Worker.Heartbeat * maxMissedHeartbeats)
	}
	if n.cfg.Adapters.Reload != nil {
		n.cfg.Adapters.Reload(s)
	}
	log := n.log.With("settings", s.Summary())
	if fields := restartFields(n.cfg.Settings, s); len(fields) > 0 {
		log.With("fields", fields).Warn("The settings have changed. Some fields take effect with the next start.")
		return
	}
	log.Info("The settings have changed.")
}

// restartFields returns the names of the settings that differ and take effect only at a start.
func restartFields(started, s *zysettings.Settings) []string {
	var fields []string
	for _, f := range []struct {
		name  string
		equal bool
	}{
		{"node", started.Host == s.Host && started.Locality == s.Locality},
		{"listen", started.Listen == s.Listen},
		{"peers", slices.Equal(started.Seeds, s.Seeds) && slices.Equal(started.PeerKey, s.PeerKey)},
		{"log", started.LogAddress == s.LogAddress},
		{"logging.format", started.Logging.Format == s.Logging.Format},
		{"approvals", reflect.DeepEqual(started.Genesis, s.Genesis)},
		{"retry.window", started.ServiceRetryBudget.Window == s.ServiceRetryBudget.Window},
		{"customerLimits", started.CustomerLimits == s.CustomerLimits},
	} {
		if !f.equal {
			fields = append(fields, f.name)
		}
	}
	return fields
}

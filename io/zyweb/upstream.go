package zyweb

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/gin-gonic/gin"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"zinniayoke/core/zyingress"
)

// UpstreamConfig configures the port for the host's own worker.
type UpstreamConfig struct {
	HandleAnnouncement func(a zyingress.Announcement) error
}

const largestAnnouncement = 4 << 10

// ErrorMessage is the body of a refused announcement or operator's request.
type ErrorMessage struct {
	Error string `json:"error"`
}

// NewUpstreamHandler returns the handler of the upstream port.
func NewUpstreamHandler(cfg UpstreamConfig) http.Handler {
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	engine.Use(gin.Recovery())
	engine.PUT("/announce", func(c *gin.Context) {
		a, err := ReadAnnouncement(c.Request.Body)
		if err == nil {
			err = cfg.HandleAnnouncement(a)
		}
		if err != nil {
			c.JSON(http.StatusBadRequest, ErrorMessage{Error: err.Error()})
			return
		}
		c.Status(http.StatusNoContent)
	})
	return engine
}

// ReadAnnouncement reads one announcement as JSON. The error is a
// *zyingress.AnnouncementError.
func ReadAnnouncement(r io.Reader) (zyingress.Announcement, error) {
	var a zyingress.Announcement
	decoder := json.NewDecoder(io.LimitReader(r, largestAnnouncement))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&a); err != nil {
		accepted := "service, address, slots, connections, state and incarnation as JSON: " + err.Error()
		return a, &zyingress.AnnouncementError{Field: "body", Accepted: accepted}
	}
	if err := a.Check(); err != nil {
		return a, errors.Join(err)
	}
	return a, nil
}

// AdminConfig configures the port for operators.
type AdminConfig struct {
	Registry *prometheus.Registry
	// Ready returns nil where the node can serve, else why not.
	Ready func() error
	// State returns what /debug/state shows.
	State func() any
	// SetLevel changes the log level.
	SetLevel func(level string) error
	// ReadyPath answers as /readyz does, "" for no other path.
	ReadyPath string
}

// NewAdminHandler returns the handler of the admin port.
func NewAdminHandler(cfg AdminConfig) http.Handler {
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	engine.Use(gin.Recovery())
	engine.GET("/metrics", gin.WrapH(promhttp.HandlerFor(cfg.Registry, promhttp.HandlerOpts{})))
	engine.GET("/healthz", func(c *gin.Context) { c.String(http.StatusOK, "alive\n") })
	ready := func(c *gin.Context) {
		if err := cfg.Ready(); err != nil {
			c.String(http.StatusServiceUnavailable, "%s\n", err)
			return
		}
		c.String(http.StatusOK, "ready\n")
	}
	engine.GET("/readyz", ready)
	if cfg.ReadyPath != "" {
		engine.GET(cfg.ReadyPath, ready)
	}
	engine.GET("/debug/state", func(c *gin.Context) { c.IndentedJSON(http.StatusOK, cfg.State()) })
	engine.PUT("/debug/level/:level", func(c *gin.Context) {
		if err := cfg.SetLevel(c.Param("level")); err != nil {
			c.JSON(http.StatusBadRequest, ErrorMessage{Error: err.Error()})
			return
		}
		c.Status(http.StatusNoContent)
	})
	return engine
}

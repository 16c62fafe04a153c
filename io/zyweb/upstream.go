package zyweb

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/gin-gonic/gin"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"zinniayoke"
	"zinniayoke/core/zyingress"
)

// UpstreamConfig configures the upstream port, which the worker on the same host uses.
type UpstreamConfig struct {
	// HandleAnnouncement processes a valid announcement of the worker. Its error is
	// returned to the worker.
	HandleAnnouncement func(a zyingress.Announcement) error
}

const maxAnnouncementSize = 4 << 10

// ErrorMessage is the body of the HTTP response to a rejected announcement or admin
// request.
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
		switch {
		case errors.As(err, new(*zinniayoke.DepartureError)):
			c.JSON(http.StatusServiceUnavailable, ErrorMessage{Error: err.Error()})
		case err != nil:
			c.JSON(http.StatusBadRequest, ErrorMessage{Error: err.Error()})
		default:
			c.Status(http.StatusNoContent)
		}
	})
	return engine
}

// ReadAnnouncement decodes and checks an announcement in JSON. The error is a
// *zyingress.AnnouncementError.
func ReadAnnouncement(r io.Reader) (zyingress.Announcement, error) {
	var a zyingress.Announcement
	decoder := json.NewDecoder(io.LimitReader(r, maxAnnouncementSize))
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

// AdminConfig configures the admin port for operators.
type AdminConfig struct {
	Registry *prometheus.Registry
	// Ready returns nil if the node can serve calls, and otherwise the reason why not.
	Ready func() error
	// State returns the value that /debug/state responds with as JSON.
	State func() any
	// Where responds to /debug/where; nil means that there is no such path.
	Where http.Handler
	// SetLevel changes the log level.
	SetLevel func(level string) error
	// ReadyPath is an additional path for the readiness check of /readyz, or "" for
	// none.
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
	if cfg.Where != nil {
		engine.GET("/debug/where", gin.WrapH(cfg.Where))
	}
	engine.PUT("/debug/level/:level", func(c *gin.Context) {
		if err := cfg.SetLevel(c.Param("level")); err != nil {
			c.JSON(http.StatusBadRequest, ErrorMessage{Error: err.Error()})
			return
		}
		c.Status(http.StatusNoContent)
	})
	return engine
}

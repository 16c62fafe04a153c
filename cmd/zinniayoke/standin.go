package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"zinniayoke"
	"zinniayoke/io/zydemo"
	"zinniayoke/io/zystandin"
)

const headerTimeout = 5 * time.Second

func standinCommand() *cli.Command {
	listen := &cli.StringFlag{Name: "listen", Required: true, Usage: "IP address and port to listen on"}
	return &cli.Command{
		Name:  "standin",
		Usage: "run a stand-in for an external system",
		Commands: []*cli.Command{
			{Name: "log", Usage: "in-memory log with the HTTP interface of the platform's log", Action: runLog, Flags: []cli.Flag{listen}},
			{
				Name: "upstream", Usage: "worker of a service of an example deployment", Action: runUpstream,
				Flags: []cli.Flag{
					listen,
					&cli.StringFlag{Name: "deployment", Value: "hollander", Usage: "hollander or tabighi"},
					&cli.StringFlag{Name: "service", Required: true, Usage: "name of the service in the deployment"},
					&cli.StringFlag{Name: "node", Required: true, Usage: "caller address of the node on this host"},
					&cli.StringFlag{Name: "announce", Required: true, Usage: "upstream address of the node on this host"},
				},
			},
		},
	}
}

func runLog(ctx context.Context, c *cli.Command) error {
	return serveUntilDone(ctx, c.String("listen"), (&zystandin.Log{}).Handler())
}

// UnknownServiceError reports a service that the deployment does not have.
type UnknownServiceError struct {
	Service  string
	Accepted []string
}

// Error names the service and lists the accepted ones.
func (e *UnknownServiceError) Error() string {
	return fmt.Sprintf("unknown service %q; accepted: %s", e.Service, strings.Join(e.Accepted, ", "))
}

func runUpstream(ctx context.Context, c *cli.Command) error {
	deployment, ok := zydemo.Deployments()[c.String("deployment")]
	if !ok {
		return &zydemo.UnknownDeploymentError{Name: c.String("deployment")}
	}
	unknown := &UnknownServiceError{Service: c.String("service")}
	for _, s := range deployment.Services {
		unknown.Accepted = append(unknown.Accepted, string(s.Name))
		if s.Name != zinniayoke.Service(c.String("service")) {
			continue
		}
		worker := zystandin.NewWorker(zystandin.WorkerConfig{
			Service: s.Name, Slots: s.Slots, MaxConnections: s.MaxConnections, Actions: s.Actions,
			NodeCallerAddress: c.String("node"), NodeUpstreamAddress: c.String("announce"), Address: c.String("listen"),
		})
		go worker.KeepAnnouncing(ctx)
		return serveUntilDone(ctx, c.String("listen"), worker)
	}
	return unknown
}

// serveUntilDone serves HTTP on address until ctx is done.
func serveUntilDone(ctx context.Context, address string, h http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("stand-in: listen: %w", err)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("stand-in: serve on %s: %w", address, err)
	}
	return nil
}

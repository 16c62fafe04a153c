package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/fx"

	"zinniayoke/core/zysettings"
	"zinniayoke/io/zynode"
	"zinniayoke/platform"
)

func load() (*zysettings.Settings, error) {
	text, err := os.ReadFile(os.Args[1])
	if err != nil {
		return nil, err
	}
	return zysettings.Parse(os.Args[1], text)
}

func main() {
	s, err := load()
	if err != nil {
		panic(err)
	}
	cfg := zynode.Config{Settings: s, Output: os.Stdout}
	if s.StoreAddress != "" {
		cfg.Adapters = platform.NewAdapters(s)
	}
	var n *zynode.Node
	app := zynode.App(cfg, fx.Populate(&n))
	_ = app.Start(context.Background())
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	<-ctx.Done()
}

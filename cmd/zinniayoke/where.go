package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"zinniayoke/core/zybalancer"
	"zinniayoke/core/zywhere"
	"zinniayoke/io/zyweb"
)

func whereCommand() *cli.Command {
	return &cli.Command{
		Name:  "where",
		Usage: "show where a node would send a request now, and why, without sending it",
		Description: "Example: zinniayoke where --admin 10.0.3.7:9103 --host shop.example --path /orders/7 --customer mill\n" +
			"It exits with 1 if the node cannot be reached or refuses to answer.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "admin", Usage: "admin address of the node", Required: true},
			&cli.StringFlag{Name: "host", Usage: "host of the request", Required: true},
			&cli.StringFlag{Name: "path", Usage: "path of the request", Required: true},
			&cli.StringFlag{Name: "method", Usage: "method of the request", Value: http.MethodGet},
			&cli.StringFlag{Name: "customer", Usage: "name of the customer whose key the request carries"},
			&cli.BoolFlag{Name: "json", Usage: "print the answer of the node as JSON"},
		},
		Action: runWhere,
	}
}

// WhereRefusedError reports that a node did not answer a query.
type WhereRefusedError struct {
	Admin  string
	Status int
	Detail string
}

// Error names the node, the status and the node's message.
func (e *WhereRefusedError) Error() string {
	return fmt.Sprintf("where: %s responds with %d: %s", e.Admin, e.Status, e.Detail)
}

func runWhere(ctx context.Context, c *cli.Command) error {
	values := url.Values{"host": {c.String("host")}, "path": {c.String("path")}, "method": {c.String("method")}}
	if name := c.String("customer"); name != "" {
		values.Set("customer", name)
	}
	body, err := fetchWhere(ctx, c.String("admin"), values)
	if err != nil {
		return err
	}
	if c.Bool("json") {
		_, err = c.Root().Writer.Write(body)
		if err != nil {
			return fmt.Errorf("where: print answer: %w", err)
		}
		return nil
	}
	answer := &zywhere.Answer{}
	if err := json.Unmarshal(body, answer); err != nil {
		return fmt.Errorf("where: decode answer of %s: %w", c.String("admin"), err)
	}
	return printWhere(c.Root().Writer, answer)
}

// fetchWhere reads /debug/where from the admin port of a node.
func fetchWhere(ctx context.Context, admin string, values url.Values) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	target := url.URL{Scheme: "http", Host: admin, Path: "/debug/where", RawQuery: values.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), http.NoBody)
	if err != nil {
		return nil, fmt.Errorf("where: build request for %s: %w", admin, withoutURL(err))
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("where: query %s: %w", admin, withoutURL(err))
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, fmt.Errorf("where: read answer of %s: %w", admin, err)
	}
	if resp.StatusCode != http.StatusOK {
		var message zyweb.ErrorMessage
		if json.Unmarshal(body, &message) != nil || message.Error == "" {
			message.Error = http.StatusText(resp.StatusCode)
		}
		return nil, &WhereRefusedError{Admin: admin, Status: resp.StatusCode, Detail: message.Error}
	}
	return body, nil
}

// withoutURL removes the URL from an error, because its query may contain a key given by
// mistake.
func withoutURL(err error) error {
	var failed *url.Error
	if errors.As(err, &failed) {
		return failed.Err
	}
	return err
}

// printWhere prints an answer as an aligned table.
func printWhere(w io.Writer, a *zywhere.Answer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	row := func(format string, args ...any) { _, _ = fmt.Fprintf(t, format+"\n", args...) }
	row("request\t%s %s%s", a.Method, a.Host, a.Path)
	row("node\t%s, version %d, even load %t", a.Node, a.Version, a.EvenLoad)
	row("route\t%s (%s%s), class %s, public %t, objective %d ms, timeout %d ms", a.Route.Name, a.Route.Host, a.Route.Prefix, a.Route.Class, a.Route.Public, a.Route.ObjectiveMs, a.Route.TimeoutMs)
	if a.Customer != nil {
		printCustomer(row, a.Customer)
	}
	row("rank\timportance %d, %d to %d, threshold %d", a.Rank.Importance, a.Rank.Lowest, a.Rank.Highest, a.Rank.Threshold)
	if a.Shedding != nil {
		row("shedding\t%.0f%% of new requests are admitted", percent*a.Shedding.AdmittedShare)
	}
	for _, r := range a.Refusals {
		row("refused\t%.0f%%, %s: %s", percent*r.Chance, r.Reason, r.Detail)
	}
	if len(a.Refusals) == 0 {
		row("refused\tno")
	}
	for i := range a.Parts {
		printPart(row, &a.Parts[i])
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("where: print answer: %w", err)
	}
	return nil
}

func printCustomer(row func(string, ...any), c *zywhere.Customer) {
	if c.Rate <= 0 {
		row("customer\t%s, priority %d, no limit", c.Name, c.Priority)
		return
	}
	row("customer\t%s, priority %d, %g/s, burst %g", c.Name, c.Priority, float64(c.Rate), c.Burst)
	if l := c.Lease; l != nil {
		row("left here\t%d tokens of owner %s, %.1f/s asked for, next token in %d ms", l.Tokens, l.Owner, l.Demand, l.RetryMs)
	} else {
		row("left here\tunknown: the customer has not sent requests to this node")
	}
	if o := c.Owned; o != nil {
		row("left in all\t%.1f tokens, %d granted to nodes", o.Tokens, o.Granted)
	}
}

func printPart(row func(string, ...any), p *zywhere.Part) {
	row("")
	row("service\t%s, %.0f%% of the route", p.Service, percent*p.Share)
	row("choice\t%s: %s", orNone(string(p.Choice)), p.Reason)
	if p.RedirectAfterMs > 0 {
		row("redirect\tfrom a wait of %.1f ms on, to another worker", p.RedirectAfterMs)
	}
	row("upstream\tdistance\tdomain\twait\tscore\toccupied\tlimit\treport\tchance\texcluded")
	for i := range p.Upstreams {
		u := &p.Upstreams[i]
		excluded := "-"
		if u.Excluded != zybalancer.ExcludedNo {
			excluded = u.Excluded.String()
		}
		if u.EjectedUntil != nil {
			excluded += " until " + u.EjectedUntil.UTC().Format("15:04:05.000")
		}
		row("%s\t%s\t%s\t%s\t%s\t%.1f\t%.0f\t%s\t%.0f%%\t%s", u.Node, u.Distance, u.Locality.Domain,
			number(u.WaitMs, 1, " ms"), number(u.Score, 3, ""), u.Occupied, u.Limit, number(u.ReportAgeMs, 0, " ms ago"), percent*u.Chance, excluded)
	}
}

// number formats an optional number with its unit.
func number(n *float64, digits int, unit string) string {
	if n == nil {
		return "-"
	}
	return strconv.FormatFloat(*n, 'f', digits, 64) + unit
}

func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}

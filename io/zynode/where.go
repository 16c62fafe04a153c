package zynode

import (
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"time"

	"zinniayoke"
	"zinniayoke/core/zywhere"
	"zinniayoke/io/zyweb"
)

// serveWhere responds with where a request would go now, as a zywhere.Answer. It sends no
// request and changes no state.
func (n *Node) serveWhere(w http.ResponseWriter, r *http.Request) {
	q, err := readWhereQuery(r.URL.RawQuery)
	var answer *zywhere.Answer
	if err == nil {
		answer, err = n.where.Explain(time.Now(), q)
	}
	status, body := http.StatusOK, any(answer)
	if err != nil {
		status, body = whereStatus(err), zyweb.ErrorMessage{Error: err.Error()}
	}
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	w.WriteHeader(status)
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "    ")
	_ = encoder.Encode(body)
}

// whereStatus returns the status of a response to a query with that error.
func whereStatus(err error) int {
	var refusal *zinniayoke.CallError
	switch {
	case !errors.As(err, &refusal):
		return http.StatusBadRequest
	case refusal.Reason == zinniayoke.ReasonNoRoute:
		return http.StatusNotFound
	}
	return http.StatusServiceUnavailable
}

// readWhereQuery reads the parameters of a query. The error is a *zywhere.BadQueryError.
func readWhereQuery(raw string) (zywhere.Query, error) {
	const accepted = "host, path, method and customer, each once"
	values, err := url.ParseQuery(raw)
	if err != nil {
		return zywhere.Query{}, &zywhere.BadQueryError{Field: "query", Accepted: accepted}
	}
	for name, list := range values {
		switch name {
		case "host", "path", "method", "customer":
			if len(list) == 1 {
				continue
			}
		}
		return zywhere.Query{}, &zywhere.BadQueryError{Field: "query", Accepted: accepted}
	}
	q := zywhere.Query{
		Host: values.Get("host"), Path: values.Get("path"), Method: values.Get("method"), Customer: zinniayoke.Customer(values.Get("customer")),
	}
	if q.Method == "" {
		q.Method = http.MethodGet
	}
	return q, nil
}

// Package zyweb implements the HTTP handlers of a node: the caller port, the upstream
// port for the worker on the same host, and the admin port for operators.
package zyweb

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gin-gonic/gin"

	"zinniayoke"
	"zinniayoke/core/zybudget"
	"zinniayoke/core/zybundle"
	"zinniayoke/core/zyentry"
	"zinniayoke/io/zyworker"
)

// Headers of requests and responses on the caller port.
const (
	CallerHeader    = "Zinniayoke-Caller"
	KeyHeader       = "Idempotency-Key"
	RequestIDHeader = "Zinniayoke-Request"
	OutcomeHeader   = "Zinniayoke-Outcome"
	AttemptsHeader  = "Zinniayoke-Attempts"
)

// CallHandler handles calls at the entry node.
type CallHandler interface {
	Handle(ctx context.Context, in *zyentry.Inbound) *zyentry.Result
}

// CallerConfig configures the caller port.
type CallerConfig struct {
	Entry  CallHandler
	Bundle func() *zybundle.Bundle
	// Budget counts the bodies of requests and responses; nil sets no limit.
	Budget *zybudget.Budget
}

const (
	maxBodySize = 8 << 20
	maxTimeout  = 10 * time.Minute
)

// NewCallerHandler returns the handler of the caller port. The path /call/SERVICE/PATH
// names the service; any other request is routed by its host name.
func NewCallerHandler(cfg CallerConfig) http.Handler {
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	engine.Use(gin.Recovery())
	p := &callerHandler{cfg: cfg}
	engine.Any("/call/:service/*path", p.call)
	engine.NoRoute(p.call)
	return engine
}

type callerHandler struct {
	cfg CallerConfig
}

func (p *callerHandler) call(c *gin.Context) {
	in, holder, err := p.parseCall(c)
	defer holder.Release()
	if err != nil && p.cfg.Bundle != nil && p.cfg.Bundle() == nil {
		err = zinniayoke.NewRefusedError(zinniayoke.ReasonNotReady, "no bundle is in force here yet")
	}
	if err != nil {
		rejectCall(c, err)
		return
	}
	result := p.cfg.Entry.Handle(c.Request.Context(), in)
	reply := result.Reply
	h := c.Writer.Header()
	h.Set(RequestIDHeader, string(result.Request))
	h.Set(OutcomeHeader, reply.Outcome.String())
	h.Set(AttemptsHeader, strconv.Itoa(int(result.Attempts)))
	if reply.Outcome != zinniayoke.OutcomeDone || reply.Response == nil {
		writeErrorResponse(c, reply)
		return
	}
	for _, header := range reply.Response.Headers {
		h.Add(header.Name, header.Value)
	}
	c.Status(reply.Response.Status)
	h.Set("Content-Length", strconv.Itoa(len(reply.Response.Body)))
	WriteBody(c.Writer, reply.Response.Body, p.cfg.Budget)
}

// parseCall reads the headers and the body of a call, whose bytes the holder has until it is
// released. The error is a *zinniayoke.CallError.
func (p *callerHandler) parseCall(c *gin.Context) (*zyentry.Inbound, *zybudget.Holder, error) {
	none := p.cfg.Budget.Hold(nil)
	timeout, err := parseTimeout(c.GetHeader(zyworker.TimeoutHeader))
	if err != nil {
		return nil, none, err
	}
	token, err := parseToken(c.Request.Header.Values("Authorization"))
	if err != nil {
		return nil, none, err
	}
	body, holder, err := ReadBody(c.Writer, c.Request, BodyConfig{Limit: maxBodySize, Budget: p.cfg.Budget, Timeout: timeout})
	if err != nil {
		return nil, holder, err
	}
	r := c.Request.Clone(c.Request.Context())
	service, host := zinniayoke.Service(c.Param("service")), ""
	if service != "" {
		r.URL.Path = c.Param("path")
		r.URL.RawPath = ""
	} else {
		host = hostName(r.Host)
	}
	return &zyentry.Inbound{
		Token: token, CustomerKey: token, ClaimedCaller: c.GetHeader(CallerHeader), Key: c.GetHeader(KeyHeader),
		Context: c.GetHeader(zyworker.ContextHeader), Timeout: timeout,
		Service: service, Host: host, HTTP: r,
		Headers: zyworker.ForwardedHeaders(r.Header), Body: body,
	}, holder, nil
}

// hostName removes the port from the value of a Host header.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

func parseTimeout(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms < 1 || ms > maxTimeout.Milliseconds() {
		return 0, zinniayoke.NewRefusedError(zinniayoke.ReasonMalformed, zyworker.TimeoutHeader+" takes milliseconds from 1 to 600000")
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// parseToken returns the token of a caller or the key of a customer. The name of the scheme
// is case-insensitive.
func parseToken(values []string) (string, error) {
	if len(values) == 0 || len(values) == 1 && values[0] == "" {
		return "", nil
	}
	scheme, token, _ := strings.Cut(values[0], " ")
	token = strings.Trim(token, " ")
	if len(values) > 1 || !strings.EqualFold(scheme, "Bearer") || token == "" {
		return "", zinniayoke.NewRefusedError(zinniayoke.ReasonToken, "Authorization takes Bearer and a token")
	}
	return token, nil
}

// ErrorResponse is the body of the HTTP response to a call that has no response of a
// worker.
type ErrorResponse struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes why a call failed and whether it may have run.
type ErrorDetail struct {
	Type    zinniayoke.Reason  `json:"type"`
	Message string             `json:"message"`
	Outcome zinniayoke.Outcome `json:"outcome"`
}

// EncodeErrorResponse returns the ErrorResponse for a reply as JSON. Most calls of an
// overloaded deployment end here, and json.Marshal takes three times as long.
func EncodeErrorResponse(reply *zinniayoke.Reply) []byte {
	const usualSize = 256
	raw := append(make([]byte, 0, usualSize), `{"error":{"type":"`...)
	raw = append(raw, reply.Reason.String()...)
	raw = append(raw, `","message":`...)
	raw = appendJSONString(raw, reply.Detail)
	raw = append(raw, `,"outcome":"`...)
	raw = append(raw, reply.Outcome.String()...)
	return append(raw, `"}}`...)
}

// appendJSONString appends a string as json.Marshal encodes it.
func appendJSONString(b []byte, s string) []byte {
	for i := range len(s) {
		if c := s[i]; c < ' ' || c >= 0x7f || strings.IndexByte(`"\<>&`, c) >= 0 {
			raw, err := json.Marshal(s)
			if err != nil {
				return append(b, `""`...) // Unreachable: a string always encodes.
			}
			return append(b, raw...)
		}
	}
	b = append(b, '"')
	b = append(b, s...)
	return append(b, '"')
}

// rejectCall responds to a call that could not be parsed. With an idempotency key the
// outcome is unknown, because another call with the same key may have run.
func rejectCall(c *gin.Context, err error) {
	var e *zinniayoke.CallError
	if !errors.As(err, &e) {
		e = zinniayoke.NewLostError(zinniayoke.ReasonAnswerLost, err.Error())
	}
	if c.GetHeader(KeyHeader) != "" {
		e.Outcome = zinniayoke.OutcomeUnknown
	}
	c.Writer.Header().Set(OutcomeHeader, e.Outcome.String())
	writeErrorResponse(c, &zinniayoke.Reply{Reason: e.Reason, Outcome: e.Outcome, Detail: e.Detail, RetryAfter: e.RetryAfter})
}

func writeErrorResponse(c *gin.Context, reply *zinniayoke.Reply) {
	status := HTTPStatus(reply.Reason)
	if wait := retryAfter(status, reply); wait > 0 {
		c.Writer.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(wait.Seconds()))))
	}
	c.JSON(status, ErrorResponse{Error: ErrorDetail{Type: reply.Reason, Message: reply.Detail, Outcome: reply.Outcome}})
}

func retryAfter(status int, reply *zinniayoke.Reply) time.Duration {
	if reply.RetryAfter > 0 {
		return reply.RetryAfter
	}
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		return time.Second
	}
	return 0
}

// HTTPStatus returns the HTTP status code for the reason of a failed call.
func HTTPStatus(r zinniayoke.Reason) int {
	switch r {
	case zinniayoke.ReasonMalformed:
		return http.StatusBadRequest
	case zinniayoke.ReasonToken:
		return http.StatusUnauthorized
	case zinniayoke.ReasonNoRoute:
		return http.StatusNotFound
	case zinniayoke.ReasonKeyReused:
		return http.StatusConflict
	case zinniayoke.ReasonTooLarge:
		return http.StatusRequestEntityTooLarge
	case zinniayoke.ReasonQuarantined:
		return http.StatusUnprocessableEntity
	case zinniayoke.ReasonCallerLimit:
		return http.StatusTooManyRequests
	case zinniayoke.ReasonAnswerLost:
		return http.StatusBadGateway
	case zinniayoke.ReasonDeadline:
		return http.StatusGatewayTimeout
	default:
		return http.StatusServiceUnavailable
	}
}

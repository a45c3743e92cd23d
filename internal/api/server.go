package api

import (
	"context"
	"encoding/json"
	"errors"
	"expvar"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gin-gonic/gin"

	"vanillalock.example/vanillalock/internal/obs"
	"vanillalock.example/vanillalock/internal/rescode"
	"vanillalock.example/vanillalock/internal/structs"
)

// Limits bounds the input of the API and selects optional endpoints.
type Limits struct {
	MaxBodyBytes int64         // largest body of a call
	MaxTimeout   time.Duration // largest value of the header Request-Timeout
	Metrics      bool          // serve /debug/vars
}

// Limits of a client connection. There is no write timeout, because a request may
// run for minutes.
const (
	headerTimeout  = 5 * time.Second
	readTimeout    = 30 * time.Second // headers and body
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 16 * 1024
)

// NewServer returns an HTTP server for handler with the limits of client
// connections set.
func NewServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, ReadTimeout: readTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
}

// server holds the dependencies of the handlers.
type server struct {
	service Service
	limits  Limits
	logger  *log.Logger
}

// NewHandler returns the handler of all endpoints of the API. It calls service for
// everything that is not parsing or encoding.
func NewHandler(service Service, limits Limits, logger *log.Logger) http.Handler {
	gin.SetMode(gin.ReleaseMode)
	s := &server{service, limits, logger}
	g := gin.New()
	g.HandleMethodNotAllowed = true
	g.UseRawPath = true
	g.Use(s.recoverPanic, traceCall)
	unsupported := func(c *gin.Context) {
		s.writeError(c, rescode.Errorf(rescode.UnsupportedEndpoint, "%s %s does not exist", c.Request.Method, c.Request.URL.Path))
	}
	g.NoRoute(unsupported)
	g.NoMethod(unsupported)
	s.routes(g)
	return g
}

func (s *server) routes(g *gin.Engine) {
	v1 := g.Group("/v1")
	v1.POST("/requests", s.submitRequest)
	v1.GET("/requests/:id", s.fetchAnswer)
	v1.POST("/jobs", s.submitJob)
	v1.GET("/jobs", s.listJobs)
	v1.GET("/jobs/:id", s.jobByID(s.service.GetJob))
	v1.DELETE("/jobs/:id", s.jobByID(s.service.CancelJob))
	registerObjectRoutes(s, v1.Group("/templates"), objectOperations[structs.Template]{
		name: func(t *structs.Template) *string { return &t.Name }, check: CheckTemplate,
		get: s.service.GetTemplate, set: s.service.SetTemplate, remove: s.service.DeleteTemplate,
		list: func(ctx context.Context) (any, error) {
			l, err := s.service.ListTemplates(ctx)
			return TemplateList{nonNil(l)}, err
		},
	})
	registerObjectRoutes(s, v1.Group("/customers"), objectOperations[structs.Customer]{
		name: func(c *structs.Customer) *string { return &c.Name }, check: CheckCustomer,
		get: s.service.GetCustomer, set: s.service.SetCustomer, remove: s.service.DeleteCustomer,
		list: func(ctx context.Context) (any, error) {
			l, err := s.service.ListCustomers(ctx)
			return CustomerList{nonNil(l)}, err
		},
	})
	v1.GET("/status", func(c *gin.Context) { c.JSON(http.StatusOK, s.service.Status(c.Request.Context())) })
	g.GET("/healthz", func(c *gin.Context) { c.String(http.StatusOK, "ok\n") })
	g.GET("/readyz", s.ready)
	if s.limits.Metrics {
		g.GET("/debug/vars", gin.WrapH(expvar.Handler()))
	}
}

// nonNil makes an empty list encode as [] and not as null.
func nonNil[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return list
}

// recoverPanic is middleware that answers with an internal error when a handler
// panics.
func (s *server) recoverPanic(c *gin.Context) {
	defer func() {
		p := recover()
		if p == nil {
			return
		}
		s.logger.Error("handler panicked", "path", c.Request.URL.Path, "panic", p, "stack", string(debug.Stack()))
		if !c.Writer.Written() {
			s.writeError(c, rescode.Errorf(rescode.Internal, "the handler panicked"))
		}
		c.Abort()
	}()
	c.Next()
}

// traceCall is middleware that runs the call in a span, which continues the
// caller's trace if the call carries one.
func traceCall(c *gin.Context) {
	ctx := obs.WithTraceparent(c.Request.Context(), c.GetHeader(HeaderTraceparent))
	ctx, span := obs.StartSpan(ctx, "api "+c.Request.Method+" "+c.FullPath())
	defer span.End()
	c.Request = c.Request.WithContext(ctx)
	c.Next()
}

func (s *server) writeError(c *gin.Context, err error) { s.writeErrorWithObject(c, err, nil) }

// writeErrorWithObject writes an ErrorBody with the HTTP status of err's result
// code. If current is not nil, the body contains it as the stored object.
func (s *server) writeErrorWithObject(c *gin.Context, err error, current any) {
	code := rescode.Of(err)
	body := ErrorBody{Code: code, Message: err.Error(), Outcome: code.Outcome().String()}
	var coded *rescode.Error
	if errors.As(err, &coded) {
		body.Field = coded.Field
		body.Message = code.String()
		if coded.Err != nil {
			body.Message = coded.Err.Error()
		}
	}
	if code == rescode.Internal {
		s.logger.Error("call failed", "path", c.Request.URL.Path, "err", err)
	}
	if current != nil {
		encoded, err := json.Marshal(current)
		if err != nil {
			s.logger.Error("could not encode the current object", "err", err)
		}
		body.Current = encoded
	}
	c.JSON(HTTPStatus(code), body)
}

func (s *server) submitRequest(c *gin.Context) {
	in, err := readRequest(c.Request.Body, c.Request.Header, s.limits)
	if err != nil {
		s.writeError(c, err)
		return
	}
	s.answerWriter(c)(s.service.SubmitRequest(c.Request.Context(), in))
}

func (s *server) fetchAnswer(c *gin.Context) {
	if err := checkName("id", c.Param("id")); err != nil {
		s.writeError(c, err)
		return
	}
	s.answerWriter(c)(s.service.FetchAnswer(c.Request.Context(), c.Param("id")))
}

// answerWriter returns a function that writes the result of a service call as an
// answer or an error.
func (s *server) answerWriter(c *gin.Context) func(structs.Answer, error) {
	return func(a structs.Answer, err error) {
		if err != nil {
			s.writeError(c, err)
			return
		}
		c.JSON(HTTPStatus(a.Code), NewAnswerBody(a))
	}
}

func (s *server) submitJob(c *gin.Context) {
	in, err := readJob(c.Request.Body, c.Request.Header, s.limits)
	if err != nil {
		s.writeError(c, err)
		return
	}
	job, err := s.service.SubmitJob(c.Request.Context(), in)
	if err != nil {
		s.writeError(c, err)
		return
	}
	c.JSON(http.StatusCreated, job)
}

func (s *server) listJobs(c *gin.Context) {
	jobs, err := s.service.ListJobs(c.Request.Context())
	if err != nil {
		s.writeError(c, err)
		return
	}
	c.JSON(http.StatusOK, JobList{nonNil(jobs)})
}

// jobByID returns a handler that passes the job id of the path to call.
func (s *server) jobByID(call func(context.Context, string) (structs.Job, error)) gin.HandlerFunc {
	return func(c *gin.Context) {
		if err := checkName("id", c.Param("id")); err != nil {
			s.writeError(c, err)
			return
		}
		job, err := call(c.Request.Context(), c.Param("id"))
		if err != nil {
			s.writeError(c, err)
			return
		}
		c.JSON(http.StatusOK, job)
	}
}

// ready serves the readiness check.
func (s *server) ready(c *gin.Context) {
	if !s.service.Ready() {
		c.String(http.StatusServiceUnavailable, "not ready\n")
		return
	}
	c.String(http.StatusOK, "ready\n")
}

// objectOperations holds the functions that access and check one kind of
// configuration object.
type objectOperations[T any] struct {
	name   func(*T) *string // pointer to the object's name
	check  func(T) error
	get    func(context.Context, string) (T, error)
	list   func(context.Context) (any, error)
	set    func(context.Context, T, uint64) (T, error) // the number is the expected version
	remove func(context.Context, string, uint64) error
}

// registerObjectRoutes registers the routes of one kind of configuration object.
func registerObjectRoutes[T any](s *server, g *gin.RouterGroup, calls objectOperations[T]) {
	g.GET("", func(c *gin.Context) {
		list, err := calls.list(c.Request.Context())
		if err != nil {
			s.writeError(c, err)
			return
		}
		c.JSON(http.StatusOK, list)
	})
	g.GET("/:name", func(c *gin.Context) {
		if err := checkName("name", c.Param("name")); err != nil {
			s.writeError(c, err)
			return
		}
		object, err := calls.get(c.Request.Context(), c.Param("name"))
		if err != nil {
			s.writeError(c, err)
			return
		}
		c.JSON(http.StatusOK, object)
	})
	g.PUT("/:name", func(c *gin.Context) { putObject(s, c, calls) })
	g.DELETE("/:name", func(c *gin.Context) { deleteObject(s, c, calls) })
}

func putObject[T any](s *server, c *gin.Context, calls objectOperations[T]) {
	var object T
	expected, err := readVersion(c.Request.Header)
	if err == nil {
		err = decode(c.Request.Body, s.limits.MaxBodyBytes, &object)
	}
	if err == nil {
		err = firstError(bindName(c, calls.name(&object)), calls.check(object))
	}
	if err != nil {
		s.writeError(c, err)
		return
	}
	stored, err := calls.set(c.Request.Context(), object, expected)
	switch {
	case rescode.Of(err) == rescode.VersionConflict && *calls.name(&stored) != "":
		s.writeErrorWithObject(c, err, stored)
	case err != nil:
		s.writeError(c, err)
	case expected == 0:
		c.JSON(http.StatusCreated, stored)
	default:
		c.JSON(http.StatusOK, stored)
	}
}

func deleteObject[T any](s *server, c *gin.Context, calls objectOperations[T]) {
	name := c.Param("name")
	expected, err := readVersion(c.Request.Header)
	if err == nil {
		err = checkName("name", name)
	}
	if err == nil && expected == 0 {
		err = rescode.FieldErrorf(rescode.OutOfRange, HeaderIfMatch, "the version is required")
	}
	if err != nil {
		s.writeError(c, err)
		return
	}
	err = calls.remove(c.Request.Context(), name, expected)
	if rescode.Of(err) == rescode.VersionConflict {
		// A delete does not return the current object. It is read after the
		// conflict, so it may be newer than the one that caused it.
		if current, getErr := calls.get(c.Request.Context(), name); getErr == nil {
			s.writeErrorWithObject(c, err, current)
			return
		}
	}
	if err != nil {
		s.writeError(c, err)
		return
	}
	c.Status(http.StatusNoContent)
}

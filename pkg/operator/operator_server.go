package operator

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/rockspoke/rockspoke/pkg/config"
	"github.com/rockspoke/rockspoke/pkg/keys"
	"github.com/rockspoke/rockspoke/pkg/node"
)

// The paths of the API.
const (
	PathConfig   = "/v1/config"
	PathVersion  = "/v1/config/versions/:version"
	PathChanges  = "/v1/changes"
	PathChange   = "/v1/changes/:id"
	PathPreview  = "/v1/preview"
	PathVersions = "/v1/versions"
	PathStatus   = "/v1/status"
	PathDump     = "/v1/dump"
	PathHistory  = "/v1/history"
	PathExplain  = "/v1/explain"
	PathLeave    = "/v1/leave"
	PathRelease  = "/v1/key-ranges/release"
	PathMetrics  = "/metrics"
	PathJSON     = "/metrics.json"
	PathHealth   = "/healthz"
)

// maxBody bounds an operator's request in bytes.
const maxBody = 4 << 20

// Accepted is the answer to a change that was accepted.
type Accepted struct {
	Version  int64  `json:"version"` // 0 where a settled change wasn't accepted
	ChangeID string `json:"change_id"`
}

// Previewed is the answer to a change that was only tried out.
type Previewed struct {
	Differences []config.Difference `json:"differences"`
	Catches     []Catch             `json:"catches"`
}

// Catch tells what a policy's selector would catch.
type Catch struct {
	Policy  string   `json:"policy"`
	Objects []string `json:"objects"`
}

// ReleaseRequest names a VM that is gone for good.
type ReleaseRequest struct {
	VM string `json:"vm"`
}

// Released tells how many key ranges were given to others.
type Released struct {
	Ranges int `json:"ranges"`
}

// Server serves the API of one daemon; its zero value with a Node and Keys is ready to start.
type Server struct {
	Node *node.Node
	Keys *keys.Store
	// Listen opens the listener; nil means net.Listen on TCP.
	Listen func(address string) (net.Listener, error)

	http *http.Server
}

// Handler returns the API without TLS.
func (s *Server) Handler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	r := gin.New()
	r.Use(gin.Recovery())
	r.GET(PathHealth, func(c *gin.Context) { c.String(http.StatusOK, "ok\n") })
	r.GET(PathStatus, func(c *gin.Context) { c.JSON(http.StatusOK, s.Node.Status()) })
	r.GET(PathDump, func(c *gin.Context) { c.JSON(http.StatusOK, s.Node.Dump()) })
	r.GET(PathMetrics, func(c *gin.Context) { s.Node.Metrics().WriteText(c.Writer) })
	r.GET(PathJSON, func(c *gin.Context) { s.Node.Metrics().WriteJSON(c.Writer) })
	r.GET(PathConfig, func(c *gin.Context) { c.JSON(http.StatusOK, s.Node.Document()) })
	r.GET(PathVersion, s.getVersion)
	r.GET(PathVersions, s.getVersions)
	r.GET(PathHistory, s.getHistory)
	r.GET(PathExplain, s.getExplain)
	r.GET(PathChange, s.getChange)
	w := r.Group("", s.needReadWrite)
	w.POST(PathChanges, s.postChange)
	w.POST(PathPreview, s.postPreview)
	w.POST(PathLeave, s.postLeave)
	w.POST(PathRelease, s.postRelease)
	return http.MaxBytesHandler(r, maxBody)
}

// Start serves the API at the address over mutual TLS.
func (s *Server) Start(address string) error {
	listen := s.Listen
	if listen == nil {
		listen = func(a string) (net.Listener, error) { return net.Listen("tcp", a) }
	}
	ln, err := listen(address)
	if err != nil {
		return err
	}
	cfg := s.Keys.ServerConfig([]string{"h2", "http/1.1"}, keys.RoleReadOnly, keys.RoleReadWrite)
	s.http = &http.Server{Handler: s.Handler(), ReadHeaderTimeout: 10 * time.Second, ErrorLog: nil}
	go func() { _ = s.http.Serve(tls.NewListener(ln, cfg)) }() // ends with Stop
	return nil
}

// Stop ends the API.
func (s *Server) Stop(ctx context.Context) error {
	if s.http == nil {
		return nil
	}
	return s.http.Shutdown(ctx)
}

// identity returns the operator who sent the request.
func identity(r *http.Request) (keys.Identity, error) {
	if r.TLS == nil || len(r.TLS.PeerCertificates) == 0 {
		return keys.Identity{}, errors.New("no certificate")
	}
	return keys.IdentityOf(r.TLS.PeerCertificates[0])
}

func (s *Server) needReadWrite(c *gin.Context) {
	id, err := identity(c.Request)
	if err != nil || id.Role != keys.RoleReadWrite {
		c.AbortWithStatusJSON(http.StatusForbidden, Problem{
			Kind: ProblemForbidden, Msg: "this command needs a read-write operator's certificate",
		})
	}
}

func (s *Server) getVersion(c *gin.Context) {
	v, err := strconv.ParseInt(c.Param("version"), 10, 64)
	if err != nil {
		fail(c, &config.InvalidError{Faults: []config.FieldError{{Field: "version", Msg: "isn't a number"}}})
		return
	}
	doc, err := s.Node.DocumentVersion(c, v)
	reply(c, doc, err)
}

func (s *Server) getVersions(c *gin.Context) {
	want, err := strconv.ParseInt(c.DefaultQuery("want", "0"), 10, 64)
	if err != nil {
		fail(c, &config.InvalidError{Faults: []config.FieldError{{Field: "want", Msg: "isn't a number"}}})
		return
	}
	c.JSON(http.StatusOK, s.Node.ReportVersions(c, want))
}

// defaultHistory is how many versions a history query gives by default.
const defaultHistory = 20

func (s *Server) getHistory(c *gin.Context) {
	most, err := strconv.Atoi(c.DefaultQuery("most", strconv.Itoa(defaultHistory)))
	if err != nil {
		fail(c, &config.InvalidError{Faults: []config.FieldError{{Field: "most", Msg: "isn't a number"}}})
		return
	}
	list, err := s.Node.History(c, most)
	reply(c, list, err)
}

func (s *Server) getExplain(c *gin.Context) {
	e, err := s.Node.Explain(config.Match{Host: c.Query("host"), Method: c.DefaultQuery("method", "GET"), Path: c.DefaultQuery("path", "/")})
	reply(c, e, err)
}

func (s *Server) getChange(c *gin.Context) {
	v, err := s.Node.ChangeVersion(c, c.Param("id"))
	reply(c, Accepted{Version: v, ChangeID: c.Param("id")}, err)
}

func (s *Server) postChange(c *gin.Context) {
	ch, ok := readChange(c)
	if !ok {
		return
	}
	doc, err := s.Node.Change(c, ch)
	if err != nil {
		fail(c, err)
		return
	}
	c.JSON(http.StatusOK, Accepted{Version: doc.Version, ChangeID: doc.ChangeID})
}

func (s *Server) postPreview(c *gin.Context) {
	ch, ok := readChange(c)
	if !ok {
		return
	}
	diffs, objs, err := s.Node.Preview(c, ch)
	if err != nil {
		fail(c, err)
		return
	}
	out := Previewed{Differences: diffs}
	for policy, caught := range config.PolicyMatches(objs) {
		out.Catches = append(out.Catches, Catch{policy, caught})
	}
	c.JSON(http.StatusOK, out)
}

func readChange(c *gin.Context) (config.Change, bool) {
	var ch config.Change
	if err := c.ShouldBindJSON(&ch); err != nil {
		fail(c, &config.InvalidError{Faults: []config.FieldError{{Msg: err.Error()}}})
		return ch, false
	}
	if ch.ID == "" {
		fail(c, &config.InvalidError{Faults: []config.FieldError{{Field: "id", Msg: "must be set"}}})
		return ch, false
	}
	if id, err := identity(c.Request); err == nil {
		ch.Author = id.Name
	}
	return ch, true
}

func (s *Server) postLeave(c *gin.Context) {
	s.Node.Leave("an operator's command")
	c.JSON(http.StatusOK, s.Node.Status())
}

func (s *Server) postRelease(c *gin.Context) {
	var in ReleaseRequest
	if err := c.ShouldBindJSON(&in); err != nil || in.VM == "" {
		fail(c, &config.InvalidError{Faults: []config.FieldError{{Field: "vm", Msg: "must be set"}}})
		return
	}
	count, err := s.Node.ReleaseRanges(c, in.VM)
	reply(c, Released{count}, err)
}

func reply(c *gin.Context, v any, err error) {
	if err != nil {
		fail(c, err)
		return
	}
	c.JSON(http.StatusOK, v)
}

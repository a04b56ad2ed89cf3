package desired

import "strings"

// Match returns the route with the longest matching path prefix of the host, or nil; host may have a port, and path a query.
func (s *State) Match(host, path string) *Route {
	if i := strings.IndexByte(path, '?'); i >= 0 {
		path = path[:i]
	}
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	routes := s.byHost[strings.ToLower(host)]
	if routes == nil {
		return nil
	}
	for {
		i := strings.LastIndexByte(path, '/')
		if i < 0 {
			return nil
		}
		if r := routes[path[:i+1]]; r != nil {
			return r
		}
		path = path[:i]
	}
}

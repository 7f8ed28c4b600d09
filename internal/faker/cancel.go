package faker

import (
	"context"
	"encoding/json"
	"net/http"
)

// attemptContext returns the context of an attempt. It ends at the attempt's
// deadline, with the HTTP request, or when the attempt is cancelled by its ID. The
// returned function must be called when the attempt has ended.
func (s *Server) attemptContext(r *http.Request, b attemptRequest) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(r.Context(), b.Remaining.Duration())
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.cancels[b.Attempt] = cancel
	return ctx, func() {
		cancel()
		s.mutex.Lock()
		defer s.mutex.Unlock()
		delete(s.cancels, b.Attempt)
	}
}

// handleCancellation cancels an attempt by its ID. The attempt's own request is
// answered separately, on its own connection.
func (s *Server) handleCancellation(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Attempt string `json:"attempt"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mutex.Lock()
	cancel, ok := s.cancels[body.Attempt]
	s.mutex.Unlock()
	if !ok {
		http.Error(w, "no such attempt is waiting or running", http.StatusNotFound)
		return
	}
	cancel()
	w.WriteHeader(http.StatusNoContent)
}

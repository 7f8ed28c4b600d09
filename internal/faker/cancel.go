package faker

import (
	"context"
	"encoding/json"
	"net/http"
)

// cancellable returns the context of an attempt: it ends at the attempt's
// deadline, with its request, or when the attempt is cancelled by its id.
func (s *Server) cancellable(r *http.Request, b attemptBody) (context.Context, context.CancelFunc) {
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

// cancelAttempt ends an attempt by its id; its request is answered on its own connection.
func (s *Server) cancelAttempt(w http.ResponseWriter, r *http.Request) {
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

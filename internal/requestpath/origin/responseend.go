package origin

import "net/http"

// checkEnd returns an error if the end of a response's body, as net/http reports it, is not the end of a whole
// response.
func (e *exchange) checkEnd(response *http.Response) error { return checkFieldNames(response.Trailer) }

package callapi

// IsToken reports whether text is a token (RFC 9110, section 5.6.2), as the names of header fields are.
func IsToken[Text string | []byte](text Text) bool {
	if len(text) == 0 {
		return false
	}
	for index := range len(text) {
		if !isTokenByte[text[index]] {
			return false
		}
	}
	return true
}

// isTokenByte tells which bytes a token may contain.
var isTokenByte = func() (allowed [256]bool) {
	for _, letter := range []byte("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ") {
		allowed[letter] = true
	}
	return allowed
}()

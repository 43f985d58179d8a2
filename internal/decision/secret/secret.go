// Package secret wraps secrets so that no log line or dump shows them.
//
// # Usage
//
//	key := secret.New("text")
//	fmt.Println(key)    // prints "[secret]"
//	use(key.Reveal())
package secret

// Secret is a text that prints as "[secret]".
type Secret struct{ text string }

// New returns text as a Secret.
func New(text string) Secret {
	return Secret{text: text}
}

// Reveal returns the text.
func (s Secret) Reveal() string {
	return s.text
}

// Empty reports whether there is no text.
func (s Secret) Empty() bool {
	return s.text == ""
}

// String hides the text.
func (s Secret) String() string {
	if s.Empty() {
		return ""
	}
	return "[secret]"
}

// GoString hides the text from %#v.
func (s Secret) GoString() string {
	return s.String()
}

// MarshalText hides the text from encoders.
func (s Secret) MarshalText() ([]byte, error) {
	return []byte(s.String()), nil
}

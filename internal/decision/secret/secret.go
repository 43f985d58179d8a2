// Package secret wraps secrets so that logs and dumps do not contain them.
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

// IsEmpty reports whether the text is empty.
func (s Secret) IsEmpty() bool {
	return s.text == ""
}

// String returns "[secret]", or an empty string for an empty secret.
func (s Secret) String() string {
	if s.IsEmpty() {
		return ""
	}
	return "[secret]"
}

// GoString redacts the text in %#v.
func (s Secret) GoString() string {
	return s.String()
}

// MarshalText redacts the text in encoders such as JSON.
func (s Secret) MarshalText() ([]byte, error) {
	return []byte(s.String()), nil
}

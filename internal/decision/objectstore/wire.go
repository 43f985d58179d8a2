package objectstore

// ResponseBody is the JSON body of the store's responses.
type ResponseBody struct {
	Version   int64      `json:"version"`
	Value     []byte     `json:"value,omitempty"`
	Instances []Instance `json:"instances,omitempty"`
	Objects   []Object   `json:"objects,omitempty"`
}

package rail

// MaxHeadBytes bounds the status line and the headers of a response that another process sends.
const MaxHeadBytes = 16 << 10

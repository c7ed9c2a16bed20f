package head

// isToken holds the bytes of the names of fields, and isText those of values and reasons.
var isToken, isText = tokenBytes(), textBytes()

func tokenBytes() (set [256]bool) {
	for _, char := range []byte("!#$%&'*+-.^_`|~") {
		set[char] = true
	}
	for char := range len(set) {
		letter := toLower(byte(char))
		set[char] = set[char] || isDigit(byte(char)) || letter >= 'a' && letter <= 'z'
	}
	return set
}

func textBytes() (set [256]bool) {
	const firstVisible, deleteByte = ' ', 0x7f
	for char := range len(set) {
		set[char] = char == '\t' || char >= firstVisible && char != deleteByte
	}
	return set
}

func isDigit(char byte) bool { return char >= '0' && char <= '9' }

func isBlank(char byte) bool { return char == ' ' || char == '\t' }

// toLower returns a letter in lower case, and another byte unchanged.
func toLower(char byte) byte {
	if char >= 'A' && char <= 'Z' {
		return char + 'a' - 'A'
	}
	return char
}

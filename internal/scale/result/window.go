package result

// WorstWindowSeconds is the length of the worst stretch that budgets are held against.
const WorstWindowSeconds = 6

// WorstWindow is the largest mean over WorstWindowSeconds successive seconds, or over all where there are fewer.
func WorstWindow(seconds []float64) float64 {
	length := min(WorstWindowSeconds, len(seconds))
	if length == 0 {
		return 0
	}
	largest := 0.0
	for end := length; end <= len(seconds); end++ {
		sum := 0.0
		for _, v := range seconds[end-length : end] {
			sum += v
		}
		largest = max(largest, sum)
	}
	return largest / float64(length)
}

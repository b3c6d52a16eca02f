package result

// WorstWindowSeconds is the length of the window over which the worst mean is compared with the budgets.
const WorstWindowSeconds = 6

// WorstWindow returns the largest mean over WorstWindowSeconds consecutive seconds, or the mean over all if there are
// fewer.
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

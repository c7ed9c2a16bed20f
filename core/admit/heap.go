package admit

// requestHeap is a heap.Interface of waiting requests, ordered by finish tag and then by id.
type requestHeap []*Request

func (rh requestHeap) Len() int { return len(rh) }

func (rh requestHeap) Less(left, right int) bool {
	if rh[left].finishTag != rh[right].finishTag {
		return rh[left].finishTag < rh[right].finishTag
	}
	return rh[left].id < rh[right].id
}

func (rh requestHeap) Swap(left, right int) {
	rh[left], rh[right] = rh[right], rh[left]
	rh[left].index = left
	rh[right].index = right
}

// Push appends a *Request.
func (rh *requestHeap) Push(value any) {
	rq := value.(*Request)
	rq.index = len(*rh)
	*rh = append(*rh, rq)
}

// Pop removes and returns the last request.
func (rh *requestHeap) Pop() any {
	last := len(*rh) - 1
	rq := (*rh)[last]
	(*rh)[last] = nil
	*rh = (*rh)[:last]
	return rq
}

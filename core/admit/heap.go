package admit

// itemHeap orders waiting items by their finish tags.
type requestHeap []*Request

func (ih requestHeap) Len() int { return len(ih) }

func (ih requestHeap) Less(left, right int) bool {
	if ih[left].finishTag != ih[right].finishTag {
		return ih[left].finishTag < ih[right].finishTag
	}
	return ih[left].id < ih[right].id
}

func (ih requestHeap) Swap(left, right int) {
	ih[left], ih[right] = ih[right], ih[left]
	ih[left].index = left
	ih[right].index = right
}

// Push adds an *Item at the end.
func (ih *requestHeap) Push(value any) {
	it := value.(*Request)
	it.index = len(*ih)
	*ih = append(*ih, it)
}

// Pop removes the item at the end.
func (ih *requestHeap) Pop() any {
	last := len(*ih) - 1
	it := (*ih)[last]
	(*ih)[last] = nil
	*ih = (*ih)[:last]
	return it
}

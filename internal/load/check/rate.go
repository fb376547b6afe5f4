package check

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// rates looks for windows in which an account got more than rate·w + burst.
//
// When a request was admitted is known only to lie between its sending and its
// answer, so a window counts those that lie in it whole: what is found has
// happened, wherever the requests were admitted.
func rates(ops []Op, limits map[AccountID]Limit) []Breach {
	admitted := map[AccountID][]Statement{}
	for _, o := range ops {
		for _, s := range o.Statements {
			if s.Code == "" && !s.Unknown && !s.Unsent {
				admitted[o.account()] = append(admitted[o.account()], s)
			}
		}
	}
	var all []Breach
	for a, s := range admitted {
		l, ok := limits[a]
		if !ok {
			continue
		}
		if over, from, to := Excess(s, l); over > 0 {
			o := Op{Service: a.Service, Account: a.Account, Answered: to}
			all = append(all, breach(WithinRate, o, "%.0f requests above %g/s·w + %g between %s and %s",
				over, l.Rate, l.Burst, from, to))
		}
	}
	return all
}

// Excess returns by how much the worst window of all goes beyond the limit, and
// that window. It is exact and takes n·log n: windows begin at a sending and end
// at an answer, and a tree over the beginnings keeps the greatest
// count + rate·begin as the ends go by.
func Excess(s []Statement, l Limit) (over float64, from, to time.Duration) {
	if len(s) == 0 {
		return 0, 0, 0
	}
	begins := make([]time.Duration, 0, len(s))
	for _, x := range s {
		begins = append(begins, x.Sent)
	}
	slices.Sort(begins)
	begins = slices.Compact(begins)
	t := newTree(len(begins))
	begun := 0
	byAnswer := func(a, b Statement) int { return cmp.Compare(a.Answered, b.Answered) }
	for _, x := range slices.SortedFunc(slices.Values(s), byAnswer) {
		for ; begun < len(begins) && begins[begun] <= x.Answered; begun++ {
			t.set(begun, l.Rate*begins[begun].Seconds())
		}
		n, _ := slices.BinarySearch(begins, x.Sent)
		t.add(n)
		best, at := t.max()
		if e := best - l.Rate*x.Answered.Seconds() - l.Burst; e > over+tolerance {
			over, from, to = e, begins[at], x.Answered
		}
	}
	return over, from, to
}

// tolerance is what rounding may add up to.
const tolerance = 1e-6

// tree is a segment tree over values, with "add one to all up to n" and "the
// greatest of all". Values that were not set are below all others.
type tree struct {
	size int
	best []float64
	at   []int
	more []float64
}

func newTree(n int) *tree {
	size := 1
	for size < n {
		size *= 2
	}
	t := &tree{size: size, best: make([]float64, 2*size), at: make([]int, 2*size), more: make([]float64, 2*size)}
	for n := range size {
		t.at[size+n] = n
	}
	for n := range t.best {
		t.best[n] = math.Inf(-1)
	}
	return t
}

// set gives the value n, to which nothing may have been added yet.
func (t *tree) set(n int, v float64) {
	i := n + t.size
	t.best[i] = v
	for i /= 2; i > 0; i /= 2 {
		t.pull(i)
	}
}

func (t *tree) pull(n int) {
	l, r := 2*n, 2*n+1
	if t.best[r] > t.best[l] {
		l = r
	}
	t.best[n], t.at[n] = t.best[l]+t.more[n], t.at[l]
}

// add adds one to the values 0 to n.
func (t *tree) add(n int) {
	i := n + t.size
	t.best[i]++
	for ; i > 1; i /= 2 {
		if i%2 == 1 {
			t.best[i-1]++
			t.more[i-1]++
		}
		t.pull(i / 2)
	}
}

func (t *tree) max() (float64, int) {
	return t.best[1], t.at[1]
}

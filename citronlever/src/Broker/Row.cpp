#include "citronlever/src/Broker/Row.h"

#include <algorithm>

namespace citronlever {

namespace {

/// Points to the next unmerged row of one list.
struct Cursor {
  std::vector<Row> *List;
  std::size_t Next;
  std::size_t Order;

  const Row &row() const { return (*this->List)[this->Next]; }
};

/// Heap order: the first row of the answer on top, equal rows in list order.
bool isAfter(const Cursor &A, const Cursor &B) {
  if (ranksBefore(A.row(), B.row()))
    return false;
  if (ranksBefore(B.row(), A.row()))
    return true;
  return A.Order > B.Order;
}

} // namespace

bool ranksBefore(const Row &A, const Row &B) {
  if (A.Score != B.Score)
    return A.Score > B.Score;
  return A.Key < B.Key;
}

std::vector<Row> mergeRows(std::vector<std::vector<Row>> Lists,
                           std::size_t Limit) {
  std::vector<Cursor> Heap;
  std::size_t Total = 0;
  for (std::size_t Index = 0; Index < Lists.size(); ++Index) {
    Total += Lists[Index].size();
    if (!Lists[Index].empty())
      Heap.push_back({&Lists[Index], 0, Index});
  }
  std::make_heap(Heap.begin(), Heap.end(), isAfter);
  std::vector<Row> Result;
  Result.reserve(std::min(Limit, Total));
  while (!Heap.empty() && Result.size() < Limit) {
    std::pop_heap(Heap.begin(), Heap.end(), isAfter);
    Cursor &Top = Heap.back();
    Result.push_back(std::move((*Top.List)[Top.Next]));
    ++Top.Next;
    if (Top.Next == Top.List->size())
      Heap.pop_back();
    else
      std::push_heap(Heap.begin(), Heap.end(), isAfter);
  }
  return Result;
}

} // namespace citronlever

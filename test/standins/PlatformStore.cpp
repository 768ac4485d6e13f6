#include "test/standins/PlatformStore.h"

#include <vector>

namespace citronlever::standin {

const StoreEntry *PlatformStore::find(const std::string &Key) const {
  const auto Found = this->Current.Entries.find(Key);
  return Found == this->Current.Entries.end() ? nullptr : &Found->second;
}

std::uint64_t PlatformStore::revisionOf(const std::string &Key) const {
  const StoreEntry *Entry = this->find(Key);
  return Entry ? Entry->Revision : 0;
}

WriteResult PlatformStore::put(const std::string &Key, std::string Value,
                               std::uint64_t ExpectedRevision,
                               const std::string &Lease) {
  const std::uint64_t KeyRevision = this->revisionOf(Key);
  if (KeyRevision != ExpectedRevision)
    return {false, KeyRevision};
  const std::uint64_t Revision = ++this->Current.Revision;
  this->Current.Entries[Key] = {std::move(Value), Revision, Lease};
  return {true, Revision};
}

WriteResult PlatformStore::remove(const std::string &Key,
                                  std::uint64_t ExpectedRevision) {
  const std::uint64_t KeyRevision = this->revisionOf(Key);
  if (KeyRevision != ExpectedRevision || KeyRevision == 0)
    return {false, KeyRevision};
  this->Current.Entries.erase(Key);
  return {true, ++this->Current.Revision};
}

std::string PlatformStore::grantLease(Duration TimeToLive, TimePoint Now) {
  std::string Id = "lease-" + std::to_string(++this->LeaseCount);
  this->Current.Leases[Id] = {TimeToLive, Now + TimeToLive};
  return Id;
}

bool PlatformStore::hasLease(const std::string &Id) const {
  return this->Current.Leases.contains(Id);
}

bool PlatformStore::renewLease(const std::string &Id, TimePoint Now) {
  const auto Found = this->Current.Leases.find(Id);
  if (Found == this->Current.Leases.end())
    return false;
  Found->second.ExpiresAt = Now + Found->second.TimeToLive;
  return true;
}

bool PlatformStore::revokeLease(const std::string &Id) {
  if (this->Current.Leases.erase(Id) == 0)
    return false;
  this->eraseKeysOf(Id);
  return true;
}

void PlatformStore::eraseKeysOf(const std::string &Lease) {
  std::erase_if(this->Current.Entries,
                [&](const auto &Item) { return Item.second.Lease == Lease; });
  ++this->Current.Revision;
}

bool PlatformStore::expireLeases(TimePoint Now) {
  std::vector<std::string> Expired;
  for (const auto &[Id, Granted] : this->Current.Leases)
    if (Granted.ExpiresAt <= Now)
      Expired.push_back(Id);
  for (const std::string &Id : Expired)
    this->revokeLease(Id);
  return !Expired.empty();
}

void PlatformStore::revokeAllLeases() {
  while (!this->Current.Leases.empty())
    this->revokeLease(std::string(this->Current.Leases.begin()->first));
}

void PlatformStore::save(const std::string &Name) {
  this->Saved[Name] = this->Current;
}

bool PlatformStore::restore(const std::string &Name) {
  const auto Found = this->Saved.find(Name);
  if (Found == this->Saved.end())
    return false;
  this->Current = Found->second;
  return true;
}

void PlatformStore::clear() { this->Current = {}; }

} // namespace citronlever::standin

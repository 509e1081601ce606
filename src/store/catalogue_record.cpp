#include "store/catalogue_record.hpp"

#include <algorithm>

#include "store/record_keys.hpp"
#include "store/transaction.hpp"

namespace kestrelhoist {
namespace {

constexpr const char* kTypes = "rigs";
constexpr const char* kParts = "parts";
constexpr const char* kWriter = "writer";

std::string keyOfPart(std::size_t part) {
  return part == 0 ? keys::kCatalogue : keys::kCatalogue + "/" + std::to_string(part);
}

Json partWithoutTypes(FencingToken writer) {
  return {{kTypes, Json::array()}, {kWriter, writer.value}};
}

}  // namespace

void CatalogueRecords::apply(const std::string& key, const Json* value) {
  if (value) {
    records_[key] = *value;
  } else {
    records_.erase(key);
  }
  whole_ = joined();
}

bool CatalogueRecords::has(const std::string& key, const Json& value) const {
  auto record = records_.find(key);
  return record != records_.end() && record->second == value;
}

std::optional<Json> CatalogueRecords::joined() const {
  auto head = records_.find(keys::kCatalogue);
  if (head == records_.end()) return std::nullopt;
  const auto parts = countField(head->second, kParts);
  if (!parts) return head->second;
  Json types = Json::array();
  for (std::size_t part = 0; part < *parts; ++part) {
    auto record = records_.find(keyOfPart(part));
    if (record == records_.end()) return std::nullopt;
    if (countField(record->second, kWriter) != countField(head->second, kWriter)) {
      return std::nullopt;
    }
    const Json* list = field(record->second, kTypes);
    if (!list || !list->is_array()) return std::nullopt;
    types.insert(types.end(), list->begin(), list->end());
  }
  return Json{{kTypes, std::move(types)}};
}

std::vector<CatalogueRecord> divideCatalogue(const Json& catalogue, std::size_t valueBytes,
                                             FencingToken writer) {
  if (jsonBytes(catalogue) <= valueBytes) return {{keys::kCatalogue, catalogue}};
  constexpr std::size_t kSeparatorBytes = 1;
  const Json& types = catalogue.at(kTypes);
  // Only the first part has the number of parts, but all of them keep room for it.
  Json longestPart = partWithoutTypes(writer);
  longestPart[kParts] = types.size();
  const std::size_t emptyBytes = jsonBytes(longestPart);
  std::vector<CatalogueRecord> records;
  std::size_t bytes = 0;
  for (const auto& type : types) {
    const std::size_t added = jsonBytes(type) + kSeparatorBytes;
    if (records.empty() || bytes + added > valueBytes) {
      records.push_back({keyOfPart(records.size()), partWithoutTypes(writer)});
      bytes = emptyBytes;
    }
    bytes += added;
    records.back().value[kTypes].push_back(type);
  }
  records.front().value[kParts] = records.size();
  std::rotate(records.begin(), records.begin() + 1, records.end());
  return records;
}

}  // namespace kestrelhoist

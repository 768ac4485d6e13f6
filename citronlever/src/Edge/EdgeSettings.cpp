#include "citronlever/src/Edge/EdgeSettings.h"

#include "citronlever/src/Core/JsonFields.h"
#include "citronlever/src/Edge/PlannedStop.h"

#include <boost/json.hpp>

namespace citronlever {

EdgeSettings readEdgeSettings(const std::string &Path) {
  constexpr double MaxCores = 1024;
  constexpr double MaxRatio = 10;
  constexpr double MaxSlack = 1e6;
  constexpr std::int64_t MaxWindowMs = 600'000;
  constexpr std::int64_t MaxStopMs = 600'000;
  constexpr std::int64_t MaxTimeToLiveMs = 60'000;
  const boost::json::value Root = readJsonFile(Path);
  JsonFields Fields(Root, Path);
  EdgeSettings Result;
  Result.Name = Fields.text("name");
  Result.Domain = Fields.text("domain");
  Result.Region = Fields.text("region", "");
  Result.CallerEndpoint = Fields.endpoint("callers");
  Result.ReadyEndpoint = Fields.endpoint("ready");
  Result.DirectoryEndpoint = Fields.endpoint("directory");
  Result.PeerEndpoint = Fields.endpoint("peers");
  Result.StoreEndpoint = Fields.endpoint("store");
  Result.MetricsEndpoint = Fields.optionalEndpoint("metrics");
  Result.CapacityCores = Fields.number("processor_share", 0, 1, 1) *
                         Fields.number("cores", 0, MaxCores, 1);
  Result.ExtraSends.Ratio = Fields.number("extra_send_ratio", 0, MaxRatio);
  Result.ExtraSends.Slack = Fields.number("extra_send_slack", 0, MaxSlack);
  Result.ExtraSends.Window =
      Fields.milliseconds("extra_send_window_ms", 1, MaxWindowMs, 10'000);
  Result.Exposure.Share =
      Fields.number("exposure_share", 0, 1, Result.Exposure.Share);
  Result.Exposure.Slack =
      Fields.number("exposure_slack", 0, MaxSlack, Result.Exposure.Slack);
  Result.StopTimeout = Fields.milliseconds("stop_ms", 0, MaxStopMs, 6000);
  Result.DirectoryTimeToLive = Fields.milliseconds(
      "directory_ttl_ms", 100, MaxTimeToLiveMs,
      toMs(PlannedStop::longestTimeToLive(Result.StopTimeout)));
  Fields.finish();
  return Result;
}

} // namespace citronlever

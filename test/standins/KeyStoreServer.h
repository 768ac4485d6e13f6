#pragma once

#include "citronlever/src/Core/Base64.h"
#include "citronlever/src/Core/HttpServer.h"
#include "test/standins/FakeKeyStore.h"

#include <boost/json.hpp>

namespace citronlever {

/// The users' store over HTTP: what platform/ speaks, in front of a
/// FakeKeyStore.
class KeyStoreServer {
public:
  KeyStoreServer(boost::asio::io_context &Io, FakeKeyStore &Store)
      : Store(Store),
        Server(
            Io, {},
            [this](const std::shared_ptr<const HttpRequest> &Request,
                   const HttpReply &Reply) { this->serve(*Request, Reply); }) {
    this->Port = this->Server.listen({"127.0.0.1", 0});
  }

  Endpoint address() const { return {"127.0.0.1", this->Port}; }

  /// Holds back every answer, as a connection that went silent does.
  bool Silent = false;
  /// Answers this status in place of serving; 0: serves.
  int Refusing = 0;
  /// Stated in place of the store's era, as a late answer does; 0: none.
  std::uint64_t EarlierEra = 0;
  /// Answers that were asked for while silent.
  std::vector<HttpReply> Held;

private:
  std::uint64_t statedEra() const {
    return this->EarlierEra != 0 ? this->EarlierEra : this->Store.Era;
  }

  static void send(const HttpReply &Reply, int Status,
                   const boost::json::object &Body, std::uint64_t Era) {
    HttpResponse Result;
    Result.Status = Status;
    if (Era != 0)
      Result.Headers.set("Store-Era", std::to_string(Era));
    Result.Body = boost::json::serialize(Body);
    Reply(std::move(Result));
  }

  static int httpStatus(StoreStatus Status) {
    switch (Status) {
    case StoreStatus::Done:
      return 200;
    case StoreStatus::Absent:
      return 404;
    case StoreStatus::Conflict:
      return 412;
    case StoreStatus::HistoryGone:
      return 410;
    default:
      return 503;
    }
  }

  static boost::json::object item(const StoreItem &From) {
    boost::json::object Result = {{"key", From.Key},
                                  {"revision", From.Revision.Number}};
    if (From.Removed)
      Result["tombstone"] = true;
    else
      Result["value"] = encodeBase64(From.Value);
    return Result;
  }

  KeyValueStore::ReadCallback sendItems(const HttpReply &Reply,
                                        const char *List) {
    return [this, Reply, List](const StoreReadResult &Came) {
      boost::json::array Items;
      for (const StoreItem &One : Came.Items)
        Items.push_back(item(One));
      send(Reply, httpStatus(Came.Status),
           {{List, Items},
            {"asOf", Came.AsOf.Number},
            {"morePages", Came.MorePages}},
           this->statedEra());
    };
  }

  KeyValueStore::WriteCallback sendReply(const HttpReply &Reply) {
    return [this, Reply](const StoreWriteResult &Came) {
      send(Reply, httpStatus(Came.Status),
           {{"revision", Came.Revision.Number},
            {"lease", Came.Lease},
            {"ttlMs", toMs(Came.TimeToLive)}},
           this->statedEra());
    };
  }

  void serve(const HttpRequest &Request, const HttpReply &Reply) {
    if (this->Silent) {
      this->Held.push_back(Reply);
      return;
    }
    if (this->Refusing != 0) {
      send(Reply, this->Refusing, {}, this->statedEra());
      return;
    }
    const std::string Path(Request.path());
    if (Path == "/v1/kv-range")
      this->Store.range(Request.query("prefix"), Request.query("after"),
                        sendItems(Reply, "items"));
    else if (Path == "/v1/kv-watch")
      this->Store.watch(Request.query("prefix"),
                        {this->Store.Era, std::stoull(Request.query("after"))},
                        Milliseconds(std::stoll(Request.query("waitMs"))),
                        sendItems(Reply, "events"));
    else if (Path == "/v1/kv-txn")
      this->Store.write(readWrite(Request.Body), sendReply(Reply));
    else if (Path == "/v1/kv-lease")
      this->Store.grantLease(Milliseconds(boost::json::parse(Request.Body)
                                              .at("ttlMs")
                                              .to_number<long long>()),
                             sendReply(Reply));
    else if (Path.starts_with("/v1/kv-keep/"))
      this->Store.renewLease(std::stoull(Path.substr(12)), sendReply(Reply));
    else if (Path.starts_with("/v1/kv-lease-end/"))
      this->Store.endLease(std::stoull(Path.substr(17)), sendReply(Reply));
    else
      send(Reply, 404, {}, this->statedEra());
  }

  static StoreWrite readWrite(const std::string &Body) {
    const boost::json::value Root = boost::json::parse(Body);
    StoreWrite Result;
    const auto &Conditions = Root.at("precondition").as_array();
    if (!Conditions.empty()) {
      Result.Conditional = true;
      Result.ExpectedRevision.Number =
          Conditions[0].at("revision").to_number<std::uint64_t>();
    }
    const auto &Writes = Root.at("writes").as_array();
    if (Writes.empty()) {
      Result.Remove = true;
      Result.Key = std::string(Root.at("remove").as_array()[0].as_string());
      return Result;
    }
    Result.Key = std::string(Writes[0].at("key").as_string());
    Result.Value = decodeBase64(std::string(Writes[0].at("value").as_string()));
    Result.Lease = Writes[0].at("lease").to_number<std::uint64_t>();
    if (Writes.size() > 1) {
      Result.SecondKey = std::string(Writes[1].at("key").as_string());
      Result.SecondValue =
          decodeBase64(std::string(Writes[1].at("value").as_string()));
    }
    return Result;
  }

  FakeKeyStore &Store;
  HttpServer Server;
  std::uint16_t Port = 0;
};

} // namespace citronlever

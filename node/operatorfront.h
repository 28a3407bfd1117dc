// The operators' and the platform's port: changes of the lists, status, probes
// and metrics.

#ifndef BAMBOOGAP_NODE_OPERATORFRONT_H
#define BAMBOOGAP_NODE_OPERATORFRONT_H

#include <functional>

#include "node/controlclient.h"
#include "node/controltask.h"
#include "node/entrytask.h"
#include "node/httpserver.h"
#include "node/membertask.h"
#include "node/metrics.h"
#include "node/ownertask.h"

namespace bamboogap {

class OperatorFront
{
public:
    OperatorFront(EventLoop &loop, const Settings &settings, MemberTask &members, OwnerTask &owner,
                  EntryTask &entry, ControlClient &control, ControlTask *replica, Metrics &metrics);

    void setServer(HttpServer *server) { server_ = server; }
    void handle(ExchangeId exchange, const HttpRequest &request);

    // From now on /readyz fails, so that the balancer chooses other nodes.
    void announceStop() { stopping_ = true; }

private:
    void healthz(ExchangeId exchange);
    void readyz(ExchangeId exchange);
    void metrics(ExchangeId exchange);
    void status(ExchangeId exchange, bool listsOnly);
    void change(ExchangeId exchange, const HttpRequest &request);
    void bootstrap(ExchangeId exchange);
    void removeReplica(ExchangeId exchange, const HttpRequest &request);
    void release(ExchangeId exchange, const HttpRequest &request);
    void replyJson(ExchangeId exchange, int status, const nlohmann::json &body);
    void replyError(ExchangeId exchange, const Error &error);
    nlohmann::json nodeStatus();

    EventLoop &loop_;
    const Settings &settings_;
    MemberTask &members_;
    OwnerTask &owner_;
    EntryTask &entry_;
    ControlClient &control_;
    ControlTask *replica_;
    Metrics &metrics_;
    HttpServer *server_ = nullptr;
    bool stopping_ = false;
};

} // namespace bamboogap

#endif

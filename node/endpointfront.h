// The port where endpoints announce themselves.

#ifndef BAMBOOGAP_NODE_ENDPOINTFRONT_H
#define BAMBOOGAP_NODE_ENDPOINTFRONT_H

#include "node/httpserver.h"
#include "node/membertask.h"
#include "node/metrics.h"

namespace bamboogap {

class EndpointFront
{
public:
    EndpointFront(const Settings &settings, MemberTask &members, Metrics &metrics);

    void setServer(HttpServer *server) { server_ = server; }
    void handle(ExchangeId exchange, const HttpRequest &request);

private:
    void announce(ExchangeId exchange, const HttpRequest &request);

    const Settings &settings_;
    MemberTask &members_;
    Metrics &metrics_;
    HttpServer *server_ = nullptr;
};

} // namespace bamboogap

#endif

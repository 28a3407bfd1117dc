// Rollouts on the operators' port of a control replica, for bamboogapctl.

#ifndef BAMBOOGAP_NODE_OPERATORROLLOUTS_H
#define BAMBOOGAP_NODE_OPERATORROLLOUTS_H

#include <functional>
#include <string_view>

#include "node/httpserver.h"
#include "node/rolloutorders.h"

namespace bamboogap {

inline constexpr std::string_view kOperatorRolloutsPath = "/v1/operators/rollouts";

// InvalidRequest names the field that is wrong.
Result<StartRolloutOrder> parseOperatorRollout(std::string_view body);

// Answers a call of that path: GET lists the rollouts, or with ?service=NAME that of one service;
// POST starts one. `abandoned` tells whether the caller has left.
kj::Promise<HttpReply> answerRolloutCall(RolloutOrders &rollouts, const HttpRequest &request,
                                         RolloutOrders::Abandoned abandoned);

} // namespace bamboogap

#endif

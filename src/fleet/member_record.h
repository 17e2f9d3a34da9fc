// Members as they travel between nodes.
#pragma once

#include "core/blackboard.h"
#include "wire/generated/messages_generated.h"

#include <memory>

namespace marigoldladder {

auto encodeMember(const Member&) -> std::unique_ptr<wire::MemberRecordT>;

// Reads a record; a state that this version does not know counts as suspect.
auto decodeMember(const wire::MemberRecordT&) -> Member;

} // namespace marigoldladder

#include "platform/caller_reply.h"

#include <string_view>

namespace marigoldladder::platform {

namespace {

    // Decodes a chunked body. Returns true if it contains the last chunk.
    auto decodeChunks(std::string_view text, std::string& body) -> bool
    {
        body.clear();
        while (!text.empty()) {
            const auto lineEnd = text.find("\r\n");
            if (lineEnd == std::string_view::npos)
                return false;
            const auto length = std::stoul(std::string(text.substr(0, lineEnd)), nullptr, 16);
            if (length == 0)
                return true;
            if (text.size() < lineEnd + 2 + length + 2)
                return false;
            body.append(text.substr(lineEnd + 2, length));
            text.remove_prefix(lineEnd + 2 + length + 2);
        }
        return false;
    }

} // namespace

auto parseReply(const std::string& text) -> CallerReply
{
    auto reply = CallerReply();
    const auto headEnd = text.find("\r\n\r\n");
    if (headEnd == std::string::npos)
        return reply;
    reply.m_head = text.substr(0, headEnd);
    reply.m_status = std::stoi(reply.m_head.substr(9, 3));
    const auto rest = text.substr(headEnd + 4);
    reply.m_rest = rest;
    const auto lengthAt = reply.m_head.find("Content-Length: ");
    if (lengthAt != std::string::npos) {
        reply.m_body = rest;
        reply.m_complete = rest.size() == std::stoul(reply.m_head.substr(lengthAt + 16));
    } else {
        reply.m_complete = decodeChunks(rest, reply.m_body);
    }
    return reply;
}

} // namespace marigoldladder::platform

#include "fakes/fake_link.hpp"

#include "base/error.hpp"

#include <array>

namespace bilberryseam::fakes {

using nlohmann::json;

/// A downstream and an upstream connection, and the buffers of the data between them.
struct fake_link::connection_pair : std::enable_shared_from_this<fake_link::connection_pair> {
    fake_link* owner = nullptr;
    gobject_ptr<GSocketConnection> downstream;
    gobject_ptr<GSocketConnection> upstream;
    std::array<std::array<char, 16384>, 2> blocks;
    uint32_t upstreamBlocks = 0;
    bool isStalled = false;
    bool isClosed = false;

    void close()
    {
        isClosed = true;
        for (const auto& side : { downstream, upstream }) {
            if (side)
                g_socket_shutdown(g_socket_connection_get_socket(side.get()), TRUE, TRUE, nullptr);
        }
    }
};

fake_link::fake_link(std::string name, const ip_endpoint& listen, ip_endpoint upstream)
    : m_name(std::move(name))
    , m_upstream(std::move(upstream))
    , m_service(gobject_ptr<GSocketService>::adopt(g_socket_service_new()))
{
    GSocketAddress* address = g_inet_socket_address_new_from_string(listen.address.c_str(), listen.port);
    const bool isListening = g_socket_listener_add_address(G_SOCKET_LISTENER(m_service.get()), address, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, nullptr, nullptr, nullptr);
    g_object_unref(address);
    if (!isListening)
        throw error(error_kind::Unavailable, "Cannot listen on " + listen.toString() + ".", "Use a free address.");
    g_signal_connect(m_service.get(), "incoming", G_CALLBACK(&fake_link::onIncoming), this);
    g_socket_service_start(m_service.get());
}

fake_link::~fake_link() = default;

gboolean fake_link::onIncoming(GSocketService*, GSocketConnection* connection, GObject*, gpointer self)
{
    auto* link = static_cast<fake_link*>(self);
    if (link->m_faults.isDown) {
        g_socket_shutdown(g_socket_connection_get_socket(connection), TRUE, TRUE, nullptr);
        return TRUE;
    }
    ++link->m_connectionCount;
    const auto newPair = std::make_shared<connection_pair>();
    newPair->owner = link;
    newPair->downstream = gobject_ptr<GSocketConnection>::share(connection);
    link->m_connectionPairs.push_back(newPair);
    const auto client = gobject_ptr<GSocketClient>::adopt(g_socket_client_new());
    g_socket_client_set_enable_proxy(client.get(), FALSE);
    GSocketAddress* address = g_inet_socket_address_new_from_string(link->m_upstream.address.c_str(), link->m_upstream.port);
    const auto onConnected = [](GObject* source, GAsyncResult* result, gpointer data) {
        const std::unique_ptr<std::shared_ptr<connection_pair>> pairPointer(static_cast<std::shared_ptr<connection_pair>*>(data));
        connection_pair& connectedPair = **pairPointer;
        connectedPair.upstream = gobject_ptr<GSocketConnection>::adopt(g_socket_client_connect_finish(G_SOCKET_CLIENT(source), result, nullptr));
        if (!connectedPair.upstream) {
            connectedPair.owner->closePair(&connectedPair);
            return;
        }
        connectedPair.owner->forward(connectedPair, false);
        connectedPair.owner->forward(connectedPair, true);
    };
    g_socket_client_connect_async(client.get(), G_SOCKET_CONNECTABLE(address), nullptr, onConnected, new std::shared_ptr<connection_pair>(newPair));
    g_object_unref(address);
    return TRUE;
}

void fake_link::forward(connection_pair& pair, bool isFromUpstream)
{
    struct pending_read {
        std::shared_ptr<fake_link::connection_pair> pairPointer;
        bool isFromUpstream;
    };
    GInputStream* input = g_io_stream_get_input_stream(G_IO_STREAM((isFromUpstream ? pair.upstream : pair.downstream).get()));
    auto& block = pair.blocks[isFromUpstream ? 1 : 0];
    const auto onRead = [](GObject* source, GAsyncResult* result, gpointer data) {
        const std::unique_ptr<pending_read> finishedRead(static_cast<pending_read*>(data));
        auto& pair = *finishedRead->pairPointer;
        const gssize count = g_input_stream_read_finish(G_INPUT_STREAM(source), result, nullptr);
        if (pair.isClosed)
            return;
        if (count <= 0) {
            pair.owner->closePair(&pair);
            return;
        }
        if (!pair.isStalled) {
            GOutputStream* output = g_io_stream_get_output_stream(G_IO_STREAM((finishedRead->isFromUpstream ? pair.downstream : pair.upstream).get()));
            g_output_stream_write_all(output, pair.blocks[finishedRead->isFromUpstream ? 1 : 0].data(), static_cast<gsize>(count), nullptr, nullptr, nullptr);
        }
        if (finishedRead->isFromUpstream) {
            ++pair.upstreamBlocks;
            ++pair.owner->m_blockCount;
            if (!pair.owner->applyFaults(pair))
                return;
        }
        pair.owner->forward(pair, finishedRead->isFromUpstream);
    };
    g_input_stream_read_async(input, block.data(), block.size(), G_PRIORITY_DEFAULT, nullptr, onRead, new pending_read { pair.shared_from_this(), isFromUpstream });
}

bool fake_link::applyFaults(connection_pair& pair)
{
    if (m_faults.stallAfterBlocks > 0 && --m_faults.stallAfterBlocks == 0) {
        pair.isStalled = true;
        ++m_cutCount;
    }
    if (m_faults.cutAfterBlocks > 0 && --m_faults.cutAfterBlocks == 0) {
        ++m_cutCount;
        closePair(&pair);
        return false;
    }
    return true;
}

void fake_link::closePair(connection_pair* pair)
{
    pair->close();
    m_connectionPairs.remove_if([pair](const auto& item) { return item.get() == pair; });
}

void fake_link::applySwitches(const json& changes)
{
    m_faults.cutAfterBlocks = changes.value("cutAfterBlocks", m_faults.cutAfterBlocks);
    m_faults.stallAfterBlocks = changes.value("silentAfterBlocks", m_faults.stallAfterBlocks);
    m_faults.isDown = changes.value("down", m_faults.isDown);
    if (changes.value("silenceNow", false)) {
        for (const auto& pair : m_connectionPairs)
            pair->isStalled = true;
    }
    while (m_faults.isDown && !m_connectionPairs.empty())
        closePair(m_connectionPairs.front().get());
}

json fake_link::counts() const
{
    return { { "blocks", m_blockCount }, { "connections", m_connectionCount }, { "cuts", m_cutCount } };
}
}

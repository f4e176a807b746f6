#include "fakes/fake_link.hpp"

#include "base/error.hpp"

#include <array>

namespace bilberryseam::fakes {

using nlohmann::json;

/// Two connected sockets and the blocks in flight between them.
struct fake_link::pair : std::enable_shared_from_this<fake_link::pair> {
    fake_link* owner = nullptr;
    gobject_ptr<GSocketConnection> near;
    gobject_ptr<GSocketConnection> far;
    std::array<std::array<char, 16384>, 2> blocks;
    uint32_t fromUpstream = 0;
    bool isSilent = false;
    bool isDead = false;

    void close()
    {
        isDead = true;
        for (const auto& side : { near, far }) {
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
        throw error(error_kind::Unavailable, "Cannot listen on " + listen.toString() + ".", "Choose a free address.");
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
    ++link->m_connections;
    const auto made = std::make_shared<pair>();
    made->owner = link;
    made->near = gobject_ptr<GSocketConnection>::share(connection);
    link->m_pairs.push_back(made);
    const auto client = gobject_ptr<GSocketClient>::adopt(g_socket_client_new());
    g_socket_client_set_enable_proxy(client.get(), FALSE);
    GSocketAddress* address = g_inet_socket_address_new_from_string(link->m_upstream.address.c_str(), link->m_upstream.port);
    const auto onConnected = [](GObject* source, GAsyncResult* outcome, gpointer data) {
        const std::unique_ptr<std::shared_ptr<pair>> kept(static_cast<std::shared_ptr<pair>*>(data));
        pair& connected = **kept;
        connected.far = gobject_ptr<GSocketConnection>::adopt(g_socket_client_connect_finish(G_SOCKET_CLIENT(source), outcome, nullptr));
        if (!connected.far) {
            connected.owner->drop(&connected);
            return;
        }
        connected.owner->forward(connected, false);
        connected.owner->forward(connected, true);
    };
    g_socket_client_connect_async(client.get(), G_SOCKET_CONNECTABLE(address), nullptr, onConnected, new std::shared_ptr<pair>(made));
    g_object_unref(address);
    return TRUE;
}

void fake_link::forward(pair& pair, bool isFromUpstream)
{
    struct pending {
        std::shared_ptr<fake_link::pair> kept;
        bool isFromUpstream;
    };
    GInputStream* input = g_io_stream_get_input_stream(G_IO_STREAM((isFromUpstream ? pair.far : pair.near).get()));
    auto& block = pair.blocks[isFromUpstream ? 1 : 0];
    const auto onRead = [](GObject* source, GAsyncResult* outcome, gpointer data) {
        const std::unique_ptr<pending> read(static_cast<pending*>(data));
        auto& pair = *read->kept;
        const gssize count = g_input_stream_read_finish(G_INPUT_STREAM(source), outcome, nullptr);
        if (pair.isDead)
            return;
        if (count <= 0) {
            pair.owner->drop(&pair);
            return;
        }
        if (!pair.isSilent) {
            GOutputStream* output = g_io_stream_get_output_stream(G_IO_STREAM((read->isFromUpstream ? pair.near : pair.far).get()));
            g_output_stream_write_all(output, pair.blocks[read->isFromUpstream ? 1 : 0].data(), static_cast<gsize>(count), nullptr, nullptr, nullptr);
        }
        if (read->isFromUpstream) {
            ++pair.fromUpstream;
            ++pair.owner->m_blocks;
            if (!pair.owner->applyFaults(pair))
                return;
        }
        pair.owner->forward(pair, read->isFromUpstream);
    };
    g_input_stream_read_async(input, block.data(), block.size(), G_PRIORITY_DEFAULT, nullptr, onRead, new pending { pair.shared_from_this(), isFromUpstream });
}

bool fake_link::applyFaults(pair& pair)
{
    if (m_faults.silentAfterBlocks > 0 && --m_faults.silentAfterBlocks == 0) {
        pair.isSilent = true;
        ++m_cuts;
    }
    if (m_faults.cutAfterBlocks > 0 && --m_faults.cutAfterBlocks == 0) {
        ++m_cuts;
        drop(&pair);
        return false;
    }
    return true;
}

void fake_link::drop(pair* pair)
{
    pair->close();
    m_pairs.remove_if([pair](const auto& item) { return item.get() == pair; });
}

void fake_link::control(const json& switches)
{
    m_faults.cutAfterBlocks = switches.value("cutAfterBlocks", m_faults.cutAfterBlocks);
    m_faults.silentAfterBlocks = switches.value("silentAfterBlocks", m_faults.silentAfterBlocks);
    m_faults.isDown = switches.value("down", m_faults.isDown);
    if (switches.value("silenceNow", false)) {
        for (const auto& pair : m_pairs)
            pair->isSilent = true;
    }
    while (m_faults.isDown && !m_pairs.empty())
        drop(m_pairs.front().get());
}

json fake_link::counts() const
{
    return { { "blocks", m_blocks }, { "connections", m_connections }, { "cuts", m_cuts } };
}
}

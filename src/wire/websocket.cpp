#include "wire/websocket.hpp"

#include "loop/callback_guard.hpp"

#include <websocketpp/client.hpp>
#include <websocketpp/concurrency/none.hpp>
#include <websocketpp/config/core.hpp>
#include <websocketpp/config/core_client.hpp>
#include <websocketpp/server.hpp>

namespace bilberryseam::wire {

namespace {
    // websocketpp prescribes the names of the members.
    // NOLINTBEGIN(readability-identifier-naming)
    template <typename Base>
    struct single_threaded : Base {
        using type = single_threaded;
        using concurrency_type = websocketpp::concurrency::none;
        using request_type = typename Base::request_type;
        using response_type = typename Base::response_type;
        using elog_type = websocketpp::log::basic<concurrency_type, websocketpp::log::elevel>;
        using alog_type = websocketpp::log::basic<concurrency_type, websocketpp::log::alevel>;
        static bool const enable_multithreading = false;
        static size_t const connection_read_buffer_size = 4096;
        static size_t const max_message_size = maxWebsocketMessageBytes;

        struct transport_config : Base::transport_config {
            using concurrency_type = type::concurrency_type;
            using elog_type = type::elog_type;
            using alog_type = type::alog_type;
            using request_type = type::request_type;
            using response_type = type::response_type;
            static bool const enable_multithreading = false;
        };
        using transport_type = websocketpp::transport::iostream::endpoint<transport_config>;
    };
    // NOLINTEND(readability-identifier-naming)

    using server_endpoint = websocketpp::server<single_threaded<websocketpp::config::core>>;
    using client_endpoint = websocketpp::client<single_threaded<websocketpp::config::core_client>>;

    constexpr size_t readBlockBytes = 32 * 1024;

    template <typename Endpoint>
    Endpoint& sharedEndpoint()
    {
        static Endpoint endpoint;
        static const bool areLogsDisabled = [] {
            endpoint.clear_access_channels(websocketpp::log::alevel::all);
            endpoint.clear_error_channels(websocketpp::log::elevel::all);
            return true;
        }();
        static_cast<void>(areLogsDisabled);
        return endpoint;
    }
}

/// The part shared by client and server connections.
class websocket::implementation : public std::enable_shared_from_this<websocket::implementation> {
public:
    implementation(GSocketConnection* connection, callbacks callbacks)
        : m_connection(G_SOCKET_CONNECTION(g_object_ref(connection)))
        , m_socket(g_socket_connection_get_socket(connection))
        , m_callbacks(std::move(callbacks))
    {
        g_socket_set_blocking(m_socket, FALSE);
        g_socket_set_option(m_socket, IPPROTO_TCP, 1 /* TCP_NODELAY */, 1, nullptr);
    }

    virtual ~implementation()
    {
        close();
        g_object_unref(m_connection);
    }

    virtual void start() = 0;
    virtual void send(std::string_view message) = 0;
    virtual void processInput(const char* data, size_t size) = 0;
    virtual void setMaxMessageBytes(size_t bytes) = 0;

    void close()
    {
        if (m_isClosed)
            return;
        m_isClosed = true;
        stopSource(m_readSource);
        stopSource(m_writeSource);
        m_callbacks = {};
        g_io_stream_close_async(G_IO_STREAM(m_connection), G_PRIORITY_DEFAULT, nullptr, nullptr, nullptr);
    }

    size_t bufferedBytes() const noexcept { return m_output.size() - m_outputSent; }

protected:
    void watchInput()
    {
        m_readSource = g_socket_create_source(m_socket, G_IO_IN, nullptr);
        g_source_set_callback(m_readSource, G_SOURCE_FUNC(&implementation::onReadable), this, nullptr);
        g_source_attach(m_readSource, nullptr);
    }

    void queueOutput(const char* data, size_t size)
    {
        m_output.append(data, size);
        if (!m_writeSource)
            writeOutput();
    }

    void handleOpen()
    {
        if (const auto callback = m_callbacks.onOpen)
            callback();
    }

    /// @return False if the connection was closed.
    bool countUnfinished(size_t size)
    {
        m_unfinishedBytes += size;
        const auto callback = m_callbacks.onUnfinished;
        if (!callback || callback(m_unfinishedBytes))
            return !m_isClosed;
        handleFailure("There is no memory for the message.");
        return false;
    }

    void handleMessage(std::string_view message)
    {
        m_unfinishedBytes = 0;
        if (const auto callback = m_callbacks.onMessage)
            callback(message);
    }

    void handleFailure(std::string_view reason)
    {
        if (m_isClosed)
            return;
        const auto callback = m_callbacks.onClose;
        const auto self = shared_from_this();
        close();
        if (callback)
            callback(reason);
    }

    bool m_isClosed = false;

private:
    static void stopSource(GSource*& source)
    {
        if (!source)
            return;
        g_source_destroy(source);
        g_source_unref(source);
        source = nullptr;
    }

    static gboolean onReadable(GSocket*, GIOCondition, gpointer data)
    {
        const auto self = static_cast<implementation*>(data)->shared_from_this();
        static char block[readBlockBytes];
        GError* failure = nullptr;
        const gssize count = g_socket_receive(self->m_socket, block, sizeof block, nullptr, &failure);
        if (count > 0) {
            if (!runGuarded("websocket", [&] { self->processInput(block, static_cast<size_t>(count)); }))
                runGuarded("websocket", [&] { self->handleFailure("A message could not be handled."); });
            return G_SOURCE_CONTINUE;
        }
        if (count == 0) {
            runGuarded("websocket", [&] { self->handleFailure("The peer closed the connection."); });
            return G_SOURCE_REMOVE;
        }
        const bool isTransient = g_error_matches(failure, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK);
        const std::string text = failure->message;
        g_error_free(failure);
        if (!isTransient)
            runGuarded("websocket", [&] { self->handleFailure(text); });
        return G_SOURCE_CONTINUE;
    }

    static gboolean onWritable(GSocket*, GIOCondition, gpointer data)
    {
        const auto self = static_cast<implementation*>(data)->shared_from_this();
        self->stopSource(self->m_writeSource);
        runGuarded("websocket", [&] { self->writeOutput(); });
        return G_SOURCE_REMOVE;
    }

    void writeOutput()
    {
        while (!m_isClosed && bufferedBytes() > 0) {
            GError* failure = nullptr;
            const gssize count = g_socket_send(m_socket, m_output.data() + m_outputSent, bufferedBytes(), nullptr, &failure);
            if (count >= 0) {
                m_outputSent += static_cast<size_t>(count);
                continue;
            }
            // Real failures also occur on reading, where they are reported.
            g_error_free(failure);
            watchOutput();
            return;
        }
        m_output.clear();
        m_outputSent = 0;
    }

    void watchOutput()
    {
        if (m_isClosed)
            return;
        m_writeSource = g_socket_create_source(m_socket, G_IO_OUT, nullptr);
        g_source_set_callback(m_writeSource, G_SOURCE_FUNC(&implementation::onWritable), this, nullptr);
        g_source_attach(m_writeSource, nullptr);
    }

    GSocketConnection* m_connection;
    GSocket* m_socket;
    callbacks m_callbacks;
    GSource* m_readSource = nullptr;
    GSource* m_writeSource = nullptr;
    std::string m_output;
    size_t m_outputSent = 0;
    /// Bytes received since the last complete message.
    size_t m_unfinishedBytes = 0;
};

namespace {
    template <typename Endpoint, typename Base>
    class endpoint_implementation final : public Base {
    public:
        using connection_ptr = typename Endpoint::connection_ptr;
        using Base::Base;

        ~endpoint_implementation() override
        {
            if (m_peer)
                detachHandlers();
        }

        void start() override
        {
            m_peer = makePeer();
            attachHandlers();
            if constexpr (std::is_same_v<Endpoint, client_endpoint>)
                sharedEndpoint<Endpoint>().connect(m_peer);
            else
                m_peer->start();
            this->watchInput();
        }

        void send(std::string_view message) override
        {
            if (!this->m_isClosed)
                m_peer->send(message.data(), message.size(), websocketpp::frame::opcode::binary);
        }

        void processInput(const char* data, size_t size) override
        {
            const auto peer = m_peer;
            if (!this->countUnfinished(size))
                return;
            if (peer->read_all(data, size) < size || peer->get_state() == websocketpp::session::state::closed)
                this->handleFailure("The peer broke the WebSocket protocol.");
        }

        void setMaxMessageBytes(size_t bytes) override { m_peer->set_max_message_size(bytes); }

    private:
        connection_ptr makePeer()
        {
            if constexpr (std::is_same_v<Endpoint, client_endpoint>) {
                websocketpp::lib::error_code failure;
                return sharedEndpoint<Endpoint>().get_connection("ws://bilberryseam/", failure);
            } else {
                return sharedEndpoint<Endpoint>().get_connection();
            }
        }

        void attachHandlers()
        {
            m_peer->set_write_handler([this](websocketpp::connection_hdl, const char* data, size_t size) {
                this->queueOutput(data, size);
                return websocketpp::lib::error_code();
            });
            m_peer->set_vector_write_handler([this](websocketpp::connection_hdl, const std::vector<websocketpp::transport::buffer>& buffers) {
                for (const auto& buffer : buffers)
                    this->queueOutput(buffer.buf, buffer.len);
                return websocketpp::lib::error_code();
            });
            m_peer->set_shutdown_handler([](websocketpp::connection_hdl) { return websocketpp::lib::error_code(); });
            m_peer->set_open_handler([this](websocketpp::connection_hdl) { this->handleOpen(); });
            m_peer->set_message_handler([this](websocketpp::connection_hdl, typename Endpoint::message_ptr message) { this->handleMessage(message->get_payload()); });
            m_peer->set_close_handler([this](websocketpp::connection_hdl) { this->handleFailure("The peer closed the WebSocket."); });
            m_peer->set_fail_handler([this](websocketpp::connection_hdl) { this->handleFailure("The WebSocket handshake failed."); });
        }

        void detachHandlers()
        {
            m_peer->set_open_handler(nullptr);
            m_peer->set_message_handler(nullptr);
            m_peer->set_close_handler(nullptr);
            m_peer->set_fail_handler(nullptr);
            m_peer->set_write_handler([](websocketpp::connection_hdl, const char*, size_t) { return websocketpp::lib::error_code(); });
            m_peer->set_vector_write_handler([](websocketpp::connection_hdl, const std::vector<websocketpp::transport::buffer>&) { return websocketpp::lib::error_code(); });
            m_peer->eof();
        }

        connection_ptr m_peer;
    };
}

websocket::websocket(std::shared_ptr<implementation> impl)
    : m_implementation(std::move(impl))
{
}

websocket::~websocket()
{
    m_implementation->close();
}

std::unique_ptr<websocket> websocket::connect(GSocketConnection* connection, callbacks callbacks)
{
    const auto impl = std::make_shared<endpoint_implementation<client_endpoint, implementation>>(connection, std::move(callbacks));
    impl->start();
    return std::unique_ptr<websocket>(new websocket(impl));
}

std::unique_ptr<websocket> websocket::accept(GSocketConnection* connection, callbacks callbacks)
{
    const auto impl = std::make_shared<endpoint_implementation<server_endpoint, implementation>>(connection, std::move(callbacks));
    impl->start();
    return std::unique_ptr<websocket>(new websocket(impl));
}

void websocket::setMaxMessageBytes(size_t bytes)
{
    m_implementation->setMaxMessageBytes(bytes);
}

void websocket::send(std::string_view message)
{
    m_implementation->send(message);
}

size_t websocket::bufferedBytes() const noexcept
{
    return m_implementation->bufferedBytes();
}
}

// Thread that runs an io_context, and input rings that are read on it.
#pragma once

#include <camphorreach/ring.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <functional>
#include <future>
#include <optional>
#include <thread>
#include <utility>

namespace camphorreach::impl {

/// Runs an io_context on its own thread, which blocks in the io_context while there is no work.
class IoThread
{
public:
    IoThread() : m_work(boost::asio::make_work_guard(m_io)) { }
    IoThread(const IoThread &) = delete;
    IoThread &operator=(const IoThread &) = delete;
    ~IoThread() { stop(); }

    [[nodiscard]] boost::asio::io_context &io() noexcept { return m_io; }

    void start()
    {
        m_thread = std::thread([this] { m_io.run(); });
    }

    void stop()
    {
        m_io.stop();
        if (m_thread.joinable())
            m_thread.join();
    }

    /// Runs \a task on the thread and returns its result. Deadlocks when called on that thread.
    template <typename Task>
    auto call(Task task)
    {
        std::packaged_task<decltype(task())()> packaged(std::move(task));
        auto future = packaged.get_future();
        boost::asio::post(m_io, std::move(packaged));
        return future.get();
    }

private:
    boost::asio::io_context m_io;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    std::thread m_thread;
};

/// Input ring of an endpoint. A push into the empty ring posts a handler that passes all messages
/// on; the thread itself never blocks on the ring.
template <typename T>
class InputRing
{
public:
    InputRing(boost::asio::io_context &io, std::size_t capacity, std::function<void(T &&)> handler)
        : m_ring(capacity), m_handler(std::move(handler))
    {
        m_ring.setWakeUp([this, &io] { boost::asio::post(io, [this] { drain(); }); });
    }

    [[nodiscard]] Ring<T> &ring() noexcept { return m_ring; }

private:
    void drain()
    {
        for (T &message : m_ring.tryPopAll())
            m_handler(std::move(message));
    }

    Ring<T> m_ring;
    std::function<void(T &&)> m_handler;
};

} // namespace camphorreach::impl

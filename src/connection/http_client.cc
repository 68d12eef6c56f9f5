#include "basilspring/connection/http_client.h"

#include <boost/fiber/future/promise.hpp>
#include <utility>

#include "connection/http_exchange.h"
#include "process/io_thread_internal.h"

namespace basilspring {

struct HttpClient::Impl {
  std::shared_ptr<internal::HttpPool> pool;
};

namespace {

class ExchangeStream : public HttpStream {
 public:
  ExchangeStream(std::shared_ptr<internal::IoDispatcher> dispatcher,
                 std::weak_ptr<internal::HttpExchange> exchange)
      : dispatcher_(std::move(dispatcher)), exchange_(std::move(exchange)) {}
  ~ExchangeStream() override {
    // Waits, so that no handler runs after the stream is destroyed.
    dispatcher_->DispatchAndWait([exchange = std::move(exchange_)] {
      if (const auto locked = exchange.lock()) locked->Abandon();
    });
  }

 private:
  std::shared_ptr<internal::IoDispatcher> dispatcher_;
  // Weak, and locked only on the I/O thread, so that the stream may outlive the client.
  std::weak_ptr<internal::HttpExchange> exchange_;
};

}  // namespace

HttpClient::HttpClient(IoThread& io, std::size_t max_idle_connections_per_server)
    : impl_(std::make_shared<Impl>()) {
  impl_->pool = std::make_shared<internal::HttpPool>(internal::IoContextOf(io),
                                                     max_idle_connections_per_server);
}

HttpClient::~HttpClient() {
  impl_->pool->dispatcher->DispatchAndWait([pool = impl_->pool] { pool->Close(); });
  impl_->pool->dispatcher->Close();
}

void HttpClient::Send(HttpClientRequest request, std::function<void(HttpResult)> handler) {
  const auto exchange = std::make_shared<internal::HttpExchange>(impl_->pool, std::move(request),
                                                                 nullptr, std::move(handler));
  impl_->pool->dispatcher->Post([exchange] { exchange->Start(); });
}

HttpResult HttpClient::Fetch(HttpClientRequest request) {
  auto promise = std::make_shared<boost::fibers::promise<HttpResult>>();
  boost::fibers::future<HttpResult> future = promise->get_future();
  Send(std::move(request), [promise](HttpResult result) { promise->set_value(std::move(result)); });
  return future.get();
}

std::unique_ptr<HttpStream> HttpClient::OpenStream(HttpClientRequest request,
                                                   std::function<void(std::string)> on_data,
                                                   std::function<void(HttpResult)> on_end) {
  const auto exchange = std::make_shared<internal::HttpExchange>(
      impl_->pool, std::move(request), std::move(on_data), std::move(on_end));
  impl_->pool->dispatcher->Post([exchange] { exchange->Start(); });
  return std::make_unique<ExchangeStream>(impl_->pool->dispatcher, exchange);
}

}  // namespace basilspring

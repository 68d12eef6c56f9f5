#include "standin/store_main.h"

#include <tclap/CmdLine.h>

#include <future>
#include <memory>
#include <string>

#include "basilspring/connection/http_server.h"
#include "basilspring/error.h"
#include "basilspring/process/io_thread.h"
#include "standin/store_server.h"

namespace basilspring::standin {
namespace {

HttpResponse HandleControl(StoreServer& store, const HttpRequest& request) {
  HttpResponse response;
  try {
    if (request.path == "/fault" && request.method == "POST") {
      store.SetFault(ParseStoreFault(request.body));
      response.body = "{}";
    } else if (request.path == "/stats") {
      response.body = store.StatsJson();
    } else {
      response.status = 404;
    }
  } catch (const Error& error) {
    response.status = 400;
    response.content_type = "text/plain";
    response.body = error.what();
  }
  return response;
}

}  // namespace

int RunStoreStandin(int argc, char** argv) {
  TCLAP::CmdLine command("Stand-in for the key-value store", ' ', "0.1.0");
  TCLAP::ValueArg<std::string> listen("", "listen", "Address of the store's API", true, "",
                                      "IP:PORT", command);
  TCLAP::ValueArg<std::string> control("", "control", "Address for fault injection and statistics",
                                       true, "", "IP:PORT", command);
  command.parse(argc, argv);
  StoreServer store(Address::Parse(listen.getValue()));
  IoThread control_io;
  HttpServer control_server(
      control_io, Address::Parse(control.getValue()),
      [&store](const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder) {
        responder->Respond(HandleControl(store, request));
      });
  std::promise<void> stop;
  control_io.OnStopSignal([&stop] { stop.set_value(); });
  stop.get_future().wait();
  return 0;
}

}  // namespace basilspring::standin

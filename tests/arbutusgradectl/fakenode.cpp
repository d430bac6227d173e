#include "fakenode.h"

namespace arbutusgrade {

using standins::HttpRequest;
using standins::HttpResponse;
using standins::ReplyMode;
using standins::Responder;

namespace {

constexpr std::string_view changesPath = "/v1/admin/changes/";
constexpr std::string_view targetsPath = "/v1/admin/targets/";

} // namespace

FakeNode::FakeNode(ConfigurationView view)
    : m_view(std::move(view)),
      m_server(m_context, [this](const HttpRequest &request, const Responder &respond) {
          serve(request, respond);
      })
{
    m_port = m_server.listen(0);
    m_thread = std::thread([this] { m_context.run(); });
}

FakeNode::~FakeNode()
{
    m_context.stop();
    m_thread.join();
}

std::uint16_t FakeNode::port() const
{
    return m_port;
}

void FakeNode::setFate(ChangeFate fate)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_fate = fate;
}

void FakeNode::setNodes(NodeList nodes)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_nodes = std::move(nodes);
}

std::vector<std::string> FakeNode::calls() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_calls;
}

ConfigurationView FakeNode::view() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_view;
}

void FakeNode::serve(const HttpRequest &request, const Responder &respond)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_calls.push_back(request.m_method + " " + request.m_path);
    const bool isPost = request.m_method == "POST";
    if (request.m_path == "/v1/admin/configuration") {
        respond(isPost ? change(request) : HttpResponse{200, formatConfigurationView(m_view)});
    } else if (request.m_path.starts_with(changesPath)) {
        respond(changeState(request.m_path.substr(changesPath.size())));
    } else if (request.m_path == "/v1/admin/nodes") {
        respond(HttpResponse{200, formatNodeList(m_nodes)});
    } else if (request.m_path.starts_with(targetsPath) && isPost) {
        respond(drain(request));
    } else if (request.m_path == "/v1/status") {
        respond(HttpResponse{200, R"({"storeContactAgeSeconds":0.25,"targets":[{"target":"a",)"
                                  R"("draining":true,"ejected":false},{"target":"b",)"
                                  R"("draining":false,"ejected":true}]})"});
    } else if (request.m_path == "/v1/query") {
        respond(HttpResponse{200, R"({"requestId":"r","outcome":"partial","coverage":{)"
                                  R"("included":["a"],"lacking":[{"shard":"b"}]},"entries":[]})"});
    } else {
        respond(HttpResponse{404, formatError("no such path")});
    }
}

HttpResponse FakeNode::change(const HttpRequest &request)
{
    const Checked<ConfigurationWrite> write = parseChangeRequest(request.m_body);
    if (write.has_error()) {
        return {422, formatFindings(write.error())};
    }
    AnswerWrite answer;
    if (write.value().m_expectedRevision != m_view.m_revision) {
        answer.m_result = WriteResult::Conflict;
        answer.m_revision = m_view.m_revision;
        answer.m_author = m_view.m_document.m_author;
        answer.m_difference = "-a\n+b\n";
    } else if (m_fate == ChangeFate::Refused) {
        answer.m_result = WriteResult::NotApplied;
        answer.m_error = "the store cannot be reached";
    } else if (m_fate != ChangeFate::LostBeforeApplied) {
        m_view.m_revision += 1;
        m_view.m_document.m_base = write.value().m_base;
        m_view.m_document.m_overlays = write.value().m_overlays;
        m_view.m_document.m_changeId = write.value().m_changeId;
        answer.m_result =
            m_fate == ChangeFate::UnknownThenApplied ? WriteResult::Unknown : WriteResult::Accepted;
        answer.m_revision = m_view.m_revision;
        answer.m_changeId = write.value().m_changeId;
    }
    const bool isSilent =
        m_fate == ChangeFate::AppliedWithoutAnswer || m_fate == ChangeFate::LostBeforeApplied;
    const AdministrationAnswer sent = formatChangeAnswer(answer);
    return {static_cast<unsigned>(sent.m_status), sent.m_body,
            isSilent ? ReplyMode::Close : ReplyMode::Once};
}

HttpResponse FakeNode::drain(const HttpRequest &request)
{
    const std::string_view path = request.m_path;
    const std::size_t slash = path.rfind('/');
    const std::string target(path.substr(targetsPath.size(), slash - targetsPath.size()));
    m_view.m_document.m_draining.clear();
    if (path.substr(slash) == "/drain") {
        m_view.m_document.m_draining = {target};
    }
    return {200, "{}",
            m_fate == ChangeFate::AppliedWithoutAnswer ? ReplyMode::Close : ReplyMode::Once};
}

HttpResponse FakeNode::changeState(const std::string &changeId) const
{
    AnswerChange answer;
    answer.m_state =
        m_view.m_document.m_changeId == changeId ? ChangeState::Accepted : ChangeState::Absent;
    answer.m_revision = m_view.m_revision;
    return {200, formatChangeState(answer)};
}

} // namespace arbutusgrade

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Map;

/** Stand-in of the clients. */
final class Client {
    static final String HOST = "shop.example";
    static final long DEADLINE_MS = 3_000;

    /** @param status 0 if there was no answer in time */
    record Answer(int status, String text) {
        Map<String, Object> body() {
            return Json.object(text);
        }
    }

    private final Record record;

    Client(Record record) {
        this.record = record;
    }

    Answer call(String method, Vm vm, String path, Object body) throws InterruptedException {
        return call(method, vm, path, body, DEADLINE_MS);
    }

    Answer call(String method, Vm vm, String path, Object body, long waitMs) throws InterruptedException {
        // A client of its own has a connection of its own.
        HttpClient http = HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(Duration.ofMillis(waitMs))
                .build();
        HttpRequest.BodyPublisher content = body == null
                ? HttpRequest.BodyPublishers.noBody()
                : HttpRequest.BodyPublishers.ofString(Json.write(body));
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + vm.front() + path))
                .timeout(Duration.ofMillis(waitMs))
                .header("Host", HOST)
                .header("Content-Type", "application/json")
                .header("Deadline-Ms", Long.toString(DEADLINE_MS))
                .method(method, content)
                .build();
        Answer answer;
        try {
            HttpResponse<String> response = http.send(request, HttpResponse.BodyHandlers.ofString());
            answer = new Answer(response.statusCode(), response.body());
        } catch (IOException e) {
            answer = new Answer(0, "");
        }
        record.add("client " + method + " " + path + " at " + vm.id + " -> "
                + (answer.status() == 0 ? "no answer" : answer.status() + " " + answer.text()));
        return answer;
    }

    static boolean isReady(Vm vm) throws InterruptedException {
        try {
            HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + vm.ready() + "/radishspindle/readiness"))
                    .timeout(Duration.ofMillis(800))
                    .build();
            return HttpClient.newHttpClient()
                            .send(request, HttpResponse.BodyHandlers.discarding())
                            .statusCode()
                    == 200;
        } catch (IOException e) {
            return false;
        }
    }
}

package org.wigeonstage.admission;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.common.Json;
import org.wigeonstage.common.WigeonstageException;
import org.wigeonstage.config.PoolSpec;
import org.wigeonstage.request.HttpCall;

/** Determines the target pool of a request from its model or its path. */
final class TargetFilter implements AdmissionFilter {

  private static final Set<String> MODEL_PATHS = Set.of("/v1/chat/completions", "/v1/completions");
  private static final String SERVICE_PREFIX = "/services/";

  @Override
  public void apply(AdmissionContext context) {
    String path = context.request().path();
    if (MODEL_PATHS.contains(path)) {
      resolveModel(context);
    } else if (path.startsWith(SERVICE_PREFIX)) {
      resolveService(context, path.substring(SERVICE_PREFIX.length()));
    } else {
      throw new WigeonstageException(
          ErrorCode.NOT_FOUND, "there is no model or service endpoint at " + path);
    }
  }

  private static void resolveModel(AdmissionContext context) {
    HttpCall call = context.request().call();
    if (!call.method().equals("POST")) {
      throw new WigeonstageException(ErrorCode.BAD_REQUEST, "the method must be POST");
    }
    JsonNode body = Json.parse(new String(call.body(), StandardCharsets.UTF_8));
    if (!body.isObject() || !body.path("model").isTextual()) {
      throw new WigeonstageException(
          ErrorCode.BAD_REQUEST, "the body must be a JSON object with a text field 'model'");
    }
    String model = body.path("model").asText();
    PoolSpec pool =
        context
            .configuration()
            .poolForModel(model)
            .orElseThrow(
                () ->
                    new WigeonstageException(
                        ErrorCode.UNKNOWN_MODEL, "no pool serves the model '" + model + "'"));
    context.modelBody(body);
    context.target(pool, call);
  }

  private static void resolveService(AdmissionContext context, String servicePath) {
    int slash = servicePath.indexOf('/');
    String name = slash < 0 ? servicePath : servicePath.substring(0, slash);
    PoolSpec pool =
        context
            .configuration()
            .pool(name)
            .filter(candidate -> candidate.kind() == PoolSpec.Kind.SERVICE)
            .orElseThrow(
                () ->
                    new WigeonstageException(
                        ErrorCode.NOT_FOUND, "there is no service pool '" + name + "'"));
    HttpCall call = context.request().call();
    String prefix = SERVICE_PREFIX + name;
    String remainder = call.path().substring(prefix.length());
    String target = remainder.startsWith("/") ? remainder : "/" + remainder;
    context.target(pool, new HttpCall(call.method(), target, call.contentType(), call.body()));
  }
}

package org.toucansaddle.daemon.settings;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.toucansaddle.coordination.sharing.SharingMode;

/**
 * Checked settings of one daemon, read from a TOML file.
 *
 * <pre>{@code
 * DaemonSettings settings = SettingsFile.read(Path.of("etc/adriavion-router-1.toml"));
 * }</pre>
 *
 * <p>Immutable.
 *
 * @param identity who the daemon is
 * @param listen where it listens
 * @param peers how daemons reach and trust each other
 * @param control whether it is a control replica
 * @param admin who may use the admin interface
 * @param log how it logs
 * @param limits bounds on what callers may ask
 * @param sharingMode how slots are shared
 */
public record DaemonSettings(
    Identity identity,
    Listen listen,
    Peers peers,
    Control control,
    Admin admin,
    Log log,
    Limits limits,
    SharingMode sharingMode) {

  /**
   * Who the daemon is.
   *
   * @param name name unique in the fleet
   * @param zone availability zone of its VM
   * @param fleet name of the fleet; daemons of another fleet are refused
   */
  public record Identity(String name, String zone, String fleet) {}

  /**
   * Addresses, each host and port.
   *
   * @param callers for callers, announcements of upstreams and the platform's balancer
   * @param admin for operators
   * @param peers for other daemons
   * @param advertisedPeers where other daemons reach {@code peers}; the same unless something
   *     translates addresses in between
   */
  public record Listen(String callers, String admin, String peers, String advertisedPeers) {}

  /**
   * How daemons reach and trust each other.
   *
   * @param seeds peer addresses of some daemons, to join by
   * @param secret shared by all daemons of the fleet
   * @param tls certificates for mutual TLS, or empty for plain TCP
   */
  public record Peers(List<String> seeds, String secret, Optional<Tls> tls) {}

  /**
   * Files for mutual TLS between daemons, in PKCS #12.
   *
   * @param keyStore own key and certificate
   * @param trustStore certificates of the authority
   * @param password password of both
   */
  public record Tls(Path keyStore, Path trustStore, String password) {}

  /**
   * Control replica.
   *
   * @param replicas names of the daemons that are control replicas at the fleet's first start
   * @param dataFolder folder of the replica's state; empty if this daemon is not a replica
   */
  public record Control(List<String> replicas, Optional<Path> dataFolder) {

    /** Returns whether this daemon is a control replica. */
    public boolean isReplica() {
      return dataFolder.isPresent();
    }
  }

  /**
   * Operators' access.
   *
   * @param tokenDigest SHA-256 digest of the operators' token, in hexadecimal
   */
  public record Admin(String tokenDigest) {}

  /**
   * Logging.
   *
   * @param json whether lines are JSON objects instead of text
   * @param level least level that is logged
   */
  public record Log(boolean json, String level) {}

  /**
   * Bounds on what callers may ask.
   *
   * @param maxBodyBytes longest body of a request, in bytes
   * @param maxQueuedPerAccount most waiting requests of an account in a pool
   * @param stallMillis longest silence of an upstream in mid-answer, in milliseconds
   * @param ioThreads number of I/O threads, shared by callers and upstreams
   */
  public record Limits(int maxBodyBytes, int maxQueuedPerAccount, int stallMillis, int ioThreads) {}
}

package org.toucansaddle.daemon.settings;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.toucansaddle.coordination.sharing.SharingMode;

/**
 * Validated settings of one daemon, read from a TOML file.
 *
 * <pre>{@code
 * DaemonSettings settings = SettingsFile.read(Path.of("etc/adriavion-router-1.toml"));
 * }</pre>
 *
 * <p>Immutable.
 *
 * @param identity name, zone and fleet of the daemon
 * @param listen addresses that it listens on
 * @param peers discovery and authentication of other daemons
 * @param control control replicas of the fleet, and the state of this one
 * @param admin access to the admin interface
 * @param log format and level of the log
 * @param limits limits on requests
 * @param sharingMode mode of slot sharing
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
   * Identity of the daemon.
   *
   * @param name name, unique in the fleet
   * @param zone availability zone of its VM
   * @param fleet name of the fleet; connections of other fleets are refused
   */
  public record Identity(String name, String zone, String fleet) {}

  /**
   * Listen addresses, each host and port.
   *
   * @param callers for callers, announcements of upstreams and the platform's load balancer
   * @param admin for operators
   * @param peers for other daemons
   * @param advertisedPeers address at which other daemons reach {@code peers}; differs only behind
   *     address translation
   */
  public record Listen(String callers, String admin, String peers, String advertisedPeers) {}

  /**
   * Discovery and authentication of other daemons.
   *
   * @param seeds peer addresses of daemons through which this one joins the fleet
   * @param secret secret shared by all daemons of the fleet
   * @param tls certificates for mutual TLS, or empty for plain TCP
   */
  public record Peers(List<String> seeds, String secret, Optional<Tls> tls) {}

  /**
   * PKCS #12 files for mutual TLS between daemons.
   *
   * @param keyStore private key and certificate of this daemon
   * @param trustStore trusted CA certificates
   * @param password password of both files
   */
  public record Tls(Path keyStore, Path trustStore, String password) {}

  /**
   * Control replicas.
   *
   * @param replicas names of the daemons that are control replicas at the fleet's first start
   * @param dataFolder folder of this replica's state; empty if this daemon is not a replica
   */
  public record Control(List<String> replicas, Optional<Path> dataFolder) {

    /** Returns whether this daemon is a control replica. */
    public boolean isReplica() {
      return dataFolder.isPresent();
    }
  }

  /**
   * Access to the admin interface.
   *
   * @param tokenDigest SHA-256 digest of the operators' token, in hexadecimal
   */
  public record Admin(String tokenDigest) {}

  /**
   * Format and level of the log.
   *
   * @param json whether lines are JSON objects; otherwise plain text
   * @param level lowest level that is logged
   */
  public record Log(boolean json, String level) {}

  /**
   * Limits on requests.
   *
   * @param maxBodyBytes maximum size of a request body, in bytes
   * @param maxQueuedPerAccount maximum number of queued requests of an account in a pool
   * @param stallMillis maximum time without data during an answer of an upstream, in milliseconds
   * @param ioThreads number of I/O threads, shared by callers and upstreams
   */
  public record Limits(int maxBodyBytes, int maxQueuedPerAccount, int stallMillis, int ioThreads) {}
}

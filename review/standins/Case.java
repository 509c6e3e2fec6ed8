import java.nio.file.Path;

/** Runs one case: exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. */
abstract class Case {
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    /** Returns a description of how the rule was broken; null if it held. */
    abstract String run(Deployment deployment) throws Exception;

    static void main(Case theCase) throws Exception {
        Record record = new Record(Path.of(System.getProperty("review.record")));
        Deployment deployment = new Deployment(record);
        int code;
        try {
            String broken = theCase.run(deployment);
            record.line(broken == null ? "HELD: the rule was not broken" : "BROKEN: " + broken);
            System.out.println(broken == null ? "held" : "broken: " + broken);
            code = broken == null ? 0 : 1;
        } catch (Deployment.CannotRun | java.io.IOException e) {
            record.line("COULD NOT RUN: " + e);
            System.out.println("could not run: " + e);
            code = 2;
        }
        deployment.end();
        System.exit(code);
    }
}
